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
 * Reads load patterns from YAML files. Errors carry a number, file, line and field.
 *
 * <p>LoadPatternReader has no state.
 */
public final class LoadPatternReader {
    private static final int MAX_SECONDS = 3_600;
    private static final int MAX_HALLS = 100;
    private static final int MAX_MEMBERS = 10_000;
    private static final int MAX_TOKENS = 1_000_000;
    private static final int MAX_PERCENT = 10_000;
    private static final long MAX_MILLIS = 3_600_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double PERCENT = 100;
    private static final long DEFAULT_CREDIT_PERCENT = 100;
    private static final long DEFAULT_LATE_CREDIT_PERCENT = 25;

    /** The default length of the longest prompt and of the longest answer, as a multiple of the mean. */
    private static final int MAX_SIZE_MEANS = 4;

    /**
     * The result of reading a file.
     *
     * @param pattern the pattern, null if there are errors
     * @param errors the errors, not null
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
        fields.reportUnknownFields();
        boolean invalid = !reader.errors().isEmpty();
        return new Result(invalid ? null : pattern, reader.errors());
    }

    private static LoadPattern pattern(Fields fields) {
        return new LoadPattern(
                fields.text("name"),
                integer(fields, "seconds", 1, MAX_SECONDS),
                integer(fields, "halls", 1, MAX_HALLS),
                integer(fields, "gatewaysPerHall", 1, MAX_MEMBERS),
                integer(fields, "enginesPerHall", 1, MAX_MEMBERS),
                integer(fields, "callersPerHall", 1, MAX_MEMBERS),
                millis(fields, "crossHallMicros"),
                engine(fields.object("engine")),
                list(fields, "load", LoadPatternReader::step),
                list(fields, "kinds", LoadPatternReader::kind),
                fields.has("events") ? list(fields, "events", LoadPatternReader::event) : List.of(),
                fields.has("accounts") ? list(fields, "accounts", LoadPatternReader::account) : List.of(),
                fields.has("surges") ? list(fields, "surges", LoadPatternReader::surge) : List.of(),
                fields.flag("callersRetryFailures", false),
                fields.number("loadReportDelayMillis", 0, MAX_MILLIS, 0),
                fields.has("sharedParts") ? list(fields, "sharedParts", LoadPatternReader::sharedPart) : List.of());
    }

    private static LoadPattern.SharedPart sharedPart(Fields fields) {
        return new LoadPattern.SharedPart(integer(fields, "count", 1, MAX_MEMBERS));
    }

    private static LoadPattern.Engine engine(Fields fields) {
        EngineModel model = new EngineModel(
                integer(fields, "slots", 1, MAX_MEMBERS),
                fields.number("tokenCapacity", 1, Long.MAX_VALUE),
                millis(fields, "stepMicros"),
                millis(fields, "stepMicrosPerRequest"),
                millis(fields, "stepMicrosPerThousandTokens"),
                (double) fields.number("promptTokensPerSecond", 1, MAX_TOKENS) / MICROS_PER_MILLI,
                integer(fields, "promptTokensPerStep", 1, MAX_TOKENS),
                integer(fields, "stepsPerPass", 1, MAX_TOKENS),
                integer(fields, "usualAnswerTokens", 1, MAX_TOKENS));
        LoadPattern.Engine engine = new LoadPattern.Engine(
                model,
                integer(fields, "pairsMicrosPerMillion", 0, MAX_TOKENS),
                integer(fields, "queue", 0, MAX_MEMBERS));
        fields.reportUnknownFields();
        return engine;
    }

    private static LoadPattern.Step step(Fields fields) {
        return new LoadPattern.Step(
                fields.number("atMillis", 0, MAX_MILLIS), integer(fields, "percent", 0, MAX_PERCENT));
    }

    private static LoadPattern.Kind kind(Fields fields) {
        int promptTokens = integer(fields, "promptTokens", 1, MAX_TOKENS);
        int answerTokens = integer(fields, "answerTokens", 1, MAX_TOKENS);
        return new LoadPattern.Kind(
                fields.text("name"),
                integer(fields, "share", 1, MAX_TOKENS),
                promptTokens,
                answerTokens,
                integer(fields, "objectiveMillis", 1, MAX_SECONDS),
                integer(fields, "pauseMillis", 1, MAX_SECONDS),
                integer(fields, "deadlineMillis", 1, (int) MAX_MILLIS),
                integer(fields, "priority", 0, MAX_HALLS),
                fields.number("promptSpreadPercent", 0, MAX_PERCENT, 0) / PERCENT,
                (int) fields.number("maxPromptTokens", 1, MAX_TOKENS, MAX_SIZE_MEANS * (long) promptTokens),
                (int) fields.number("maxAnswerTokens", 1, MAX_TOKENS, MAX_SIZE_MEANS * (long) answerTokens),
                fields.number("creditPercent", 0, MAX_PERCENT, DEFAULT_CREDIT_PERCENT) / PERCENT,
                fields.number("lateCreditPercent", 0, MAX_PERCENT, DEFAULT_LATE_CREDIT_PERCENT) / PERCENT);
    }

    private static LoadPattern.Account account(Fields fields) {
        return new LoadPattern.Account(fields.text("name"), integer(fields, "share", 1, MAX_TOKENS), (int)
                fields.number("priority", 0, MAX_HALLS, -1));
    }

    private static LoadPattern.Surge surge(Fields fields) {
        return new LoadPattern.Surge(
                fields.text("kind", ""),
                fields.text("account", ""),
                fields.number("atMillis", 0, MAX_MILLIS),
                fields.number("forMillis", 0, MAX_MILLIS),
                integer(fields, "percent", 0, MAX_PERCENT));
    }

    private static LoadPattern.Event event(Fields fields) {
        double factor = fields.number("factor", 1, MAX_HALLS, 1);
        double factorPercent = fields.number("factorPercent", (long) PERCENT, MAX_PERCENT, (long) (factor * PERCENT));
        return new LoadPattern.Event(
                fields.choice("what", ReplayEventType.class, ReplayEventType.SLOW),
                fields.number("atMillis", 0, MAX_MILLIS),
                integer(fields, "percent", 0, MAX_PERCENT),
                fields.number("forMillis", 0, MAX_MILLIS, 0),
                fields.number("overMillis", 0, MAX_MILLIS, 0),
                factorPercent / PERCENT);
    }

    /** Reads one element of a list. */
    private interface ElementReader<T> {
        T read(Fields fields);
    }

    private static <T> List<T> list(Fields fields, String name, ElementReader<T> reader) {
        return fields.objects(name).stream()
                .map(element -> {
                    T result = reader.read(element);
                    element.reportUnknownFields();
                    return result;
                })
                .toList();
    }

    private static int integer(Fields fields, String name, int min, int max) {
        return (int) fields.number(name, min, max);
    }

    private static double millis(Fields fields, String name) {
        return (double) fields.number(name, 0, MAX_TOKENS) / MICROS_PER_MILLI;
    }
}
