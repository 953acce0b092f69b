package org.bankturn.replay;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.bankturn.document.DocumentError;
import org.bankturn.document.DocumentReader;
import org.bankturn.document.Fields;
import org.bankturn.service.EngineModel;

/**
 * Reads load patterns from YAML files; what is wrong with one is told with its number, file, line and field.
 *
 * <p>LoadPatternReader has no state.
 */
public final class LoadPatternReader {
    private static final int MOST_SECONDS = 3_600;
    private static final int MOST_HALLS = 100;
    private static final int MOST_MEMBERS = 10_000;
    private static final int MOST_TOKENS = 1_000_000;
    private static final int MOST_PERCENT = 10_000;
    private static final long MOST_MILLIS = 3_600_000;
    private static final double MICROS_PER_MILLI = 1_000;

    /**
     * What came of reading a file.
     *
     * @param pattern the pattern, null if there are errors
     * @param errors what is wrong, not null
     */
    public record Result(LoadPattern pattern, List<DocumentError> errors) {
        /** Copies the errors. */
        public Result {
            errors = List.copyOf(errors);
        }
    }

    private LoadPatternReader() {}

    /**
     * Reads a file.
     *
     * @param file the file, not null
     * @return the pattern or the errors, not null
     * @throws IOException if the file cannot be read
     */
    public static Result read(Path file) throws IOException {
        return read(file.toString(), Files.readString(file));
    }

    static Result read(String name, String text) {
        DocumentReader reader = DocumentReader.of(name);
        Fields fields = reader.read(text);
        LoadPattern pattern = pattern(fields);
        fields.finish();
        boolean wrong = !reader.errors().isEmpty();
        return new Result(wrong ? null : pattern, reader.errors());
    }

    private static LoadPattern pattern(Fields fields) {
        return new LoadPattern(
                fields.text("name"),
                whole(fields, "seconds", 1, MOST_SECONDS),
                whole(fields, "halls", 1, MOST_HALLS),
                whole(fields, "gatewaysPerHall", 1, MOST_MEMBERS),
                whole(fields, "enginesPerHall", 1, MOST_MEMBERS),
                whole(fields, "callersPerHall", 1, MOST_MEMBERS),
                millis(fields, "crossHallMicros"),
                engine(fields.object("engine")),
                each(fields, "load", LoadPatternReader::step),
                each(fields, "kinds", LoadPatternReader::kind),
                fields.has("events") ? each(fields, "events", LoadPatternReader::event) : List.of(),
                fields.flag("callersRetryFailures", false));
    }

    private static LoadPattern.Engine engine(Fields fields) {
        EngineModel model = new EngineModel(
                whole(fields, "slots", 1, MOST_MEMBERS),
                fields.number("tokenCapacity", 1, Long.MAX_VALUE),
                millis(fields, "stepMicros"),
                millis(fields, "stepMicrosPerRequest"),
                millis(fields, "stepMicrosPerThousandTokens"),
                (double) fields.number("promptTokensPerSecond", 1, MOST_TOKENS) / MICROS_PER_MILLI,
                whole(fields, "promptTokensPerStep", 1, MOST_TOKENS),
                whole(fields, "stepsPerPass", 1, MOST_TOKENS),
                whole(fields, "usualAnswerTokens", 1, MOST_TOKENS));
        LoadPattern.Engine engine = new LoadPattern.Engine(
                model, whole(fields, "pairsMicrosPerMillion", 0, MOST_TOKENS), whole(fields, "queue", 0, MOST_MEMBERS));
        fields.finish();
        return engine;
    }

    private static LoadPattern.Step step(Fields fields) {
        return new LoadPattern.Step(
                fields.number("atMillis", 0, MOST_MILLIS), whole(fields, "percent", 0, MOST_PERCENT));
    }

    private static LoadPattern.Kind kind(Fields fields) {
        return new LoadPattern.Kind(
                fields.text("name"),
                whole(fields, "share", 1, MOST_TOKENS),
                whole(fields, "promptTokens", 1, MOST_TOKENS),
                whole(fields, "answerTokens", 1, MOST_TOKENS),
                whole(fields, "objectiveMillis", 1, MOST_SECONDS),
                whole(fields, "pauseMillis", 1, MOST_SECONDS),
                whole(fields, "deadlineMillis", 1, (int) MOST_MILLIS),
                whole(fields, "priority", 0, MOST_HALLS));
    }

    private static LoadPattern.Event event(Fields fields) {
        return new LoadPattern.Event(
                fields.choice("what", ReplayEventType.class, ReplayEventType.SLOW),
                fields.number("atMillis", 0, MOST_MILLIS),
                whole(fields, "percent", 0, MOST_PERCENT),
                fields.number("forMillis", 0, MOST_MILLIS, 0),
                fields.number("overMillis", 0, MOST_MILLIS, 0),
                (int) fields.number("factor", 1, MOST_HALLS, 1));
    }

    /** Reads one entry of a list. */
    private interface Entry<T> {
        T read(Fields fields);
    }

    private static <T> List<T> each(Fields fields, String name, Entry<T> entry) {
        return fields.objects(name).stream()
                .map(each -> {
                    T read = entry.read(each);
                    each.finish();
                    return read;
                })
                .toList();
    }

    private static int whole(Fields fields, String name, int least, int most) {
        return (int) fields.number(name, least, most);
    }

    private static double millis(Fields fields, String name) {
        return (double) fields.number(name, 0, MOST_TOKENS) / MICROS_PER_MILLI;
    }
}
