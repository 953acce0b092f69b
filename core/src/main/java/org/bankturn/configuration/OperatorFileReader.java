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
 * Parses an operator file and collects every error in it.
 *
 * <p>OperatorFileReader is mutable; an instance parses a single file.
 */
final class OperatorFileReader {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NAME_DESCRIPTION = "a name of letters, digits, dots, underscores and hyphens";
    private static final String ADDRESS_PATTERN = "[0-9A-Fa-f.:\\[\\]]+:[0-9]{1,5}";
    private static final String ADDRESS_DESCRIPTION = "an IP address and port, such as 10.0.0.1:7000";
    private static final String DIGEST_PATTERN = "[0-9a-f]{64}";
    private static final String DIGEST_DESCRIPTION = "a SHA-256 digest of 64 lower-case hexadecimal digits";
    private static final int MAX_COUNT = 1_000_000;

    private final List<NameOccurrence> definitions = new ArrayList<>();
    private final List<NameOccurrence> references = new ArrayList<>();

    /**
     * Parses a file without regard to other files.
     *
     * @param source the name to use in errors, not null
     * @param text the YAML text, not null
     * @return the parsed file with its errors, not null
     */
    static ParsedFile read(String source, String text) {
        return new OperatorFileReader().readFile(source, text);
    }

    private OperatorFileReader() {}

    private ParsedFile readFile(String source, String text) {
        DocumentReader reader = DocumentReader.of(source);
        Fields fields = reader.read(text);
        if (!reader.errors().isEmpty()) {
            OperatorFile empty =
                    new OperatorFile("", 1, List.of(), List.of(), List.of(), List.of(), List.of(), List.of());
            return new ParsedFile(empty, definitions, references, reader.errors());
        }
        OperatorFile content = new OperatorFile(
                fields.text("name", NAME_PATTERN, NAME_DESCRIPTION),
                fields.number("number", 1, Long.MAX_VALUE),
                readList(fields, "dataHalls", this::readDataHall),
                readList(fields, "boxes", this::readBox),
                readList(fields, "models", this::readModel),
                readList(fields, "versions", this::readVersion),
                readList(fields, "services", this::readService),
                readList(fields, "clientAccounts", this::readAccount));
        fields.reportUnknownFields();
        List<DocumentError> errors = reader.errors();
        return new ParsedFile(content, definitions, references, errors);
    }

    private static <T> List<T> readList(Fields fields, String name, Function<Fields, T> readElement) {
        List<T> all = new ArrayList<>();
        for (Fields element : fields.objects(name)) {
            all.add(readElement.apply(element));
            element.reportUnknownFields();
        }
        return List.copyOf(all);
    }

    private DataHall readDataHall(Fields fields) {
        return new DataHall(
                readDefinition(fields, Kind.DATA_HALL), fields.text("region", NAME_PATTERN, NAME_DESCRIPTION));
    }

    private Box readBox(Fields fields) {
        return new Box(
                readDefinition(fields, Kind.BOX),
                readReference(fields, "dataHall", Kind.DATA_HALL),
                readReference(fields, "service", Kind.SERVICE),
                fields.text("httpAddress", ADDRESS_PATTERN, ADDRESS_DESCRIPTION),
                fields.text("nodeAddress", ADDRESS_PATTERN, ADDRESS_DESCRIPTION),
                fields.flag("leaving", false));
    }

    private Model readModel(Fields fields) {
        String name = readDefinition(fields, Kind.MODEL);
        String version = fields.text("version", NAME_PATTERN, NAME_DESCRIPTION);
        references.add(new NameOccurrence(Kind.VERSION, name + "/" + version, fields.locationOf("version")));
        return new Model(
                name, readAllowedHalls(fields), version, fields.choice("policy", DistributionPolicy.class, null), (int)
                        fields.number("entersServiceAt", 1, MAX_COUNT));
    }

    private ModelVersion readVersion(Fields fields) {
        String model = readReference(fields, "model", Kind.MODEL);
        String name = fields.text("name", NAME_PATTERN, NAME_DESCRIPTION);
        definitions.add(new NameOccurrence(Kind.VERSION, model + "/" + name, fields.locationOf("name")));
        return new ModelVersion(
                model,
                name,
                fields.text("manifest", DIGEST_PATTERN, DIGEST_DESCRIPTION),
                fields.text("origin", ADDRESS_PATTERN, ADDRESS_DESCRIPTION));
    }

    private Service readService(Fields fields) {
        String name = readDefinition(fields, Kind.SERVICE);
        String model = fields.has("model") ? readReference(fields, "model", Kind.MODEL) : null;
        return new Service(name, model, (int) fields.number("requestsAtOnce", 1, MAX_COUNT));
    }

    private ClientAccount readAccount(Fields fields) {
        return new ClientAccount(
                readDefinition(fields, Kind.CLIENT_ACCOUNT),
                (int) fields.number("weight", 1, MAX_COUNT),
                readAllowedHalls(fields));
    }

    private List<String> readAllowedHalls(Fields fields) {
        List<String> halls = fields.texts("dataHalls");
        if (halls.isEmpty()) {
            fields.reportContradiction("dataHalls", "dataHalls must list at least one data hall");
        }
        for (int i = 0; i < halls.size(); i++) {
            references.add(new NameOccurrence(Kind.DATA_HALL, halls.get(i), fields.locationOf("dataHalls[" + i + "]")));
        }
        return halls;
    }

    private String readDefinition(Fields fields, Kind kind) {
        String name = fields.text("name", NAME_PATTERN, NAME_DESCRIPTION);
        definitions.add(new NameOccurrence(kind, name, fields.locationOf("name")));
        return name;
    }

    private String readReference(Fields fields, String field, Kind kind) {
        String name = fields.text(field, NAME_PATTERN, NAME_DESCRIPTION);
        if (!name.isEmpty()) {
            references.add(new NameOccurrence(kind, name, fields.locationOf(field)));
        }
        return name;
    }
}
