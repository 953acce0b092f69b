package org.bankturn.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.bankturn.daemon.settings.DaemonSettings.ControlBox;
import org.bankturn.daemon.settings.DaemonSettings.ControlSettings;
import org.bankturn.daemon.settings.DaemonSettings.EntrySettings;
import org.bankturn.daemon.settings.DaemonSettings.TargetSettings;
import org.bankturn.document.DocumentError;
import org.bankturn.document.DocumentReader;
import org.bankturn.document.Fields;

/**
 * Parses the settings of a process and collects all errors in them.
 */
public final class DaemonSettingsReader {
    private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,62}";
    private static final String NAME_DESCRIPTION = "a name of letters, digits, dots and hyphens";
    private static final String ADDRESS_PATTERN = "[0-9A-Fa-f.:\\[\\]]+:[1-9][0-9]{0,4}";
    private static final String ADDRESS_DESCRIPTION = "an IP address and port, such as 10.0.0.1:7000";
    private static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);
    private static final long MILLIS_PER_DAY = 86_400_000L;
    private static final long GIGABYTE = 1_000_000_000L;

    /**
     * The parsed settings or the errors.
     *
     * @param settings the settings, null if there are errors
     * @param errors all errors, empty if the settings are valid, not null
     */
    public record Result(DaemonSettings settings, List<DocumentError> errors) {}

    private DaemonSettingsReader() {}

    /**
     * Parses settings.
     *
     * @param file the file name for error messages, not null
     * @param text the YAML text, not null
     * @return the settings or the errors, not null
     */
    public static Result read(String file, String text) {
        DocumentReader reader = DocumentReader.of(file);
        Fields fields = reader.read(text);
        if (!reader.errors().isEmpty()) {
            return new Result(null, reader.errors());
        }
        DaemonSettings settings = readAll(fields);
        fields.reportUnknownFields();
        return reader.errors().isEmpty() ? new Result(settings, List.of()) : new Result(null, reader.errors());
    }

    private static DaemonSettings readAll(Fields fields) {
        Set<ProcessRole> roles = readRoles(fields);
        return new DaemonSettings(
                fields.text("process", NAME_PATTERN, NAME_DESCRIPTION),
                fields.text("dataHall", NAME_PATTERN, NAME_DESCRIPTION),
                roles,
                readAddress(fields, "httpAddress"),
                readAddress(fields, "nodeAddress"),
                readControlBoxes(fields),
                readAddresses(fields, "configurationSources"),
                readSection(fields, "control", roles.contains(ProcessRole.CONTROL), DaemonSettingsReader::readControl),
                readSection(fields, "entry", roles.contains(ProcessRole.ENTRY), DaemonSettingsReader::readEntry),
                readSection(fields, "target", roles.contains(ProcessRole.TARGET), DaemonSettingsReader::readTarget),
                fields.flag("traces", false));
    }

    private static Set<ProcessRole> readRoles(Fields fields) {
        Set<ProcessRole> roles = EnumSet.noneOf(ProcessRole.class);
        for (String text : fields.texts("roles")) {
            try {
                roles.add(ProcessRole.valueOf(text.toUpperCase(Locale.ROOT)));
            } catch (IllegalArgumentException e) {
                fields.reportContradiction("roles", "roles must be entry, control or target, not " + text);
            }
        }
        if (roles.isEmpty()) {
            fields.reportContradiction("roles", "roles must list at least one of entry, control and target");
        }
        if (roles.contains(ProcessRole.TARGET) && roles.size() > 1) {
            fields.reportContradiction("roles", "the role target cannot be combined with other roles");
        }
        return roles;
    }

    private static List<ControlBox> readControlBoxes(Fields fields) {
        List<ControlBox> boxes = new ArrayList<>();
        for (Fields box : fields.objects("controlBoxes")) {
            boxes.add(
                    new ControlBox(box.text("name", NAME_PATTERN, NAME_DESCRIPTION), readAddress(box, "nodeAddress")));
            box.reportUnknownFields();
        }
        if (boxes.isEmpty()) {
            fields.reportContradiction("controlBoxes", "controlBoxes must list at least one box");
        }
        return List.copyOf(boxes);
    }

    private static ControlSettings readControl(Fields fields) {
        ControlSettings settings = new ControlSettings(
                Path.of(fields.text("dataFolder")),
                fields.number("electionTimeoutMillis", 100, 60_000, 1_000),
                fields.number("heartbeatMillis", 10, 20_000, 150),
                (int) fields.number("snapshotEvery", 16, 1_000_000, 4_096));
        if (settings.electionTimeoutMillis() < 3 * settings.heartbeatMillis()) {
            fields.reportContradiction(
                    "electionTimeoutMillis", "electionTimeoutMillis must be at least three times heartbeatMillis");
        }
        return settings;
    }

    private static EntrySettings readEntry(Fields fields) {
        return new EntrySettings(
                (int) fields.number("workerThreads", 1, 64, 2),
                fields.number("defaultDeadlineMillis", 100, MILLIS_PER_DAY, 30_000),
                fields.number("keyLifetimeMillis", 1_000, 7 * MILLIS_PER_DAY, MILLIS_PER_DAY),
                (int) fields.number("retryPercent", 1, 100, 10),
                fields.has("boxList") ? readAddress(fields, "boxList") : null,
                fields.number("stopGraceMillis", 0, 600_000, 1_000));
    }

    private static TargetSettings readTarget(Fields fields) {
        return new TargetSettings(
                Path.of(fields.text("chunkFolder")),
                readAddress(fields, "backend"),
                fields.flag("backendChecksFence", false),
                fields.number("uploadBytesPerSecond", 1_000, 1_000 * GIGABYTE, GIGABYTE),
                fields.number("downloadBytesPerSecond", 1_000, 1_000 * GIGABYTE, GIGABYTE),
                fields.number("leaseMillis", 500, 600_000, 10_000));
    }

    private interface SectionReader<T> {
        T read(Fields section);
    }

    /** Reads the section of a role, which must be present if and only if the process has the role. */
    private static <T> T readSection(Fields fields, String name, boolean required, SectionReader<T> reader) {
        boolean present = fields.has(name);
        if (present != required) {
            fields.reportContradiction(
                    name,
                    required
                            ? "the role " + name + " requires a section " + name
                            : "the section " + name + " requires the role " + name);
        }
        if (!present || !required) {
            return null;
        }
        Fields section = fields.object(name);
        T read = reader.read(section);
        section.reportUnknownFields();
        return read;
    }

    private static Address readAddress(Fields fields, String name) {
        String text = fields.text(name, ADDRESS_PATTERN, ADDRESS_DESCRIPTION);
        return toAddress(fields, name, text);
    }

    private static List<Address> readAddresses(Fields fields, String name) {
        List<Address> addresses = new ArrayList<>();
        for (String text : fields.texts(name)) {
            addresses.add(toAddress(fields, name, text));
        }
        return List.copyOf(addresses);
    }

    private static Address toAddress(Fields fields, String name, String text) {
        if (text.isEmpty()) {
            return PLACEHOLDER_ADDRESS;
        }
        try {
            return Address.parse(text);
        } catch (IllegalArgumentException e) {
            fields.reportContradiction(name, "must be " + ADDRESS_DESCRIPTION + ", not " + text);
            return PLACEHOLDER_ADDRESS;
        }
    }
}
