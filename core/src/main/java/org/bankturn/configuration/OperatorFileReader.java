package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import org.bankturn.configuration.NameOccurrence.Kind;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.document.DocumentError;
import org.bankturn.document.DocumentReader;
import org.bankturn.document.Fields;

/**
 * Reads operators' files and lists every error in them.
 *
 * <p>OperatorFileReader is mutable and used for one file.
 */
final class OperatorFileReader {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NAME_WORDS = "a name of letters, digits, dots and hyphens";
    private static final String ADDRESS_PATTERN = "[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}";
    private static final String ADDRESS_WORDS = "an IP number and port, such as 10.0.0.1:7000";
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";
    private static final String DIGEST_WORDS = "a SHA-256 of 64 lower-case hexadecimal digits";
    private static final int MAXIMUM_COUNT = 1_000_000;

    private final List<NameOccurrence> definitions = new ArrayList<>();
    private final List<NameOccurrence> references = new ArrayList<>();

    /**
     * Reads a file by itself.
     *
     * @param source the name to use in errors, not null
     * @param text the YAML text, not null
     * @return what was read, not null
     */
    static ParsedFile read(String source, String text) {
        return new OperatorFileReader().readFile(source, text);
    }

    private OperatorFileReader() {}

    private ParsedFile readFile(String source, String text) {
        DocumentReader reader = DocumentReader.of(source);
        Fields fields = reader.read(text);
        if (!reader.errors().isEmpty()) {
            OperatorFile nothing =
                    new OperatorFile("", 1, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
            return new ParsedFile(nothing, definitions, references, reader.errors());
        }
        OperatorFile content = new OperatorFile(
                fields.text("name", NAME_PATTERN, NAME_WORDS),
                fields.number("number", 1, Long.MAX_VALUE),
                readAll(fields, "dataHalls", this::readDataHall),
                readAll(fields, "boxes", this::readBox),
                readAll(fields, "models", this::readModel),
                readAll(fields, "versions", this::readVersion),
                readAll(fields, "services", this::readService),
                readAll(fields, "clientAccounts", this::readAccount));
        fields.finish();
        List<DocumentError> errors = reader.errors();
        return new ParsedFile(content, definitions, references, errors);
    }

    private static <T> List<T> readAll(Fields fields, String name, Function<Fields, T> readOne) {
        List<T> all = new ArrayList<>();
        for (Fields one : fields.objects(name)) {
            all.add(readOne.apply(one));
            one.finish();
        }
        return List.copyOf(all);
    }

    private DataHall readDataHall(Fields fields) {
        return new DataHall(describe(fields, Kind.DATA_HALL), fields.text("region", NAME_PATTERN, NAME_WORDS));
    }

    private Box readBox(Fields fields) {
        return new Box(
                describe(fields, Kind.BOX),
                refer(fields, "dataHall", Kind.DATA_HALL),
                refer(fields, "service", Kind.SERVICE),
                fields.text("httpAddress", ADDRESS_PATTERN, ADDRESS_WORDS),
                fields.text("nodeAddress", ADDRESS_PATTERN, ADDRESS_WORDS),
                fields.flag("leaving", false));
    }

    private Model readModel(Fields fields) {
        String name = describe(fields, Kind.MODEL);
        String version = fields.text("version", NAME_PATTERN, NAME_WORDS);
        references.add(new NameOccurrence(Kind.VERSION, name + "/" + version, fields.locationOf("version")));
        return new Model(
                name, readResidency(fields), version, fields.choice("policy", DistributionPolicy.class, null), (int)
                        fields.number("entersServiceAt", 1, MAXIMUM_COUNT));
    }

    private ModelVersion readVersion(Fields fields) {
        String model = refer(fields, "model", Kind.MODEL);
        String name = fields.text("name", NAME_PATTERN, NAME_WORDS);
        definitions.add(new NameOccurrence(Kind.VERSION, model + "/" + name, fields.locationOf("name")));
        return new ModelVersion(
                model,
                name,
                fields.text("manifest", DIGEST_PATTERN, DIGEST_WORDS),
                fields.text("origin", ADDRESS_PATTERN, ADDRESS_WORDS));
    }

    private Service readService(Fields fields) {
        String name = describe(fields, Kind.SERVICE);
        String model = fields.has("model") ? refer(fields, "model", Kind.MODEL) : null;
        return new Service(name, model, (int) fields.number("requestsAtOnce", 1, MAXIMUM_COUNT));
    }

    private ClientAccount readAccount(Fields fields) {
        return new ClientAccount(
                describe(fields, Kind.CLIENT_ACCOUNT),
                (int) fields.number("weight", 1, MAXIMUM_COUNT),
                readResidency(fields));
    }

    private List<String> readResidency(Fields fields) {
        List<String> halls = fields.texts("dataHalls");
        if (halls.isEmpty()) {
            fields.contradictory("dataHalls", "dataHalls must list at least one data hall");
        }
        for (int position = 0; position < halls.size(); position++) {
            references.add(new NameOccurrence(
                    Kind.DATA_HALL, halls.get(position), fields.locationOf("dataHalls[" + position + "]")));
        }
        return halls;
    }

    private String describe(Fields fields, Kind kind) {
        String name = fields.text("name", NAME_PATTERN, NAME_WORDS);
        definitions.add(new NameOccurrence(kind, name, fields.locationOf("name")));
        return name;
    }

    private String refer(Fields fields, String field, Kind kind) {
        String name = fields.text(field, NAME_PATTERN, NAME_WORDS);
        if (!name.isEmpty()) {
            references.add(new NameOccurrence(kind, name, fields.locationOf(field)));
        }
        return name;
    }
}
