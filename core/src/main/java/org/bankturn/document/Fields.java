package org.bankturn.document;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bankturn.result.ResultCode;

/**
 * The fields of a mapping in a document.
 *
 * <p>Read each supported field, then call {@link #reportUnknownFields()} to report the others. A missing or invalid field
 * is reported and replaced by a default value.
 *
 * <p>Fields is mutable and not thread-safe.
 */
public final class Fields {
    private final DocumentReader reader;
    private final ObjectNode node;
    private final String path;
    private final Set<String> supported = new HashSet<>();

    Fields(DocumentReader reader, ObjectNode node, String path) {
        this.reader = reader;
        this.node = node;
        this.path = path;
    }

    /**
     * Returns whether a field is present.
     *
     * @param name the field name, not null
     * @return true if the field is present and not null
     */
    public boolean has(String name) {
        supported.add(name);
        return node.hasNonNull(name);
    }

    /**
     * Returns the source location of a field.
     *
     * @param name the field name, not null
     * @return its location, not null
     */
    public SourceLocation locationOf(String name) {
        return reader.locationOf(pathOf(name));
    }

    /**
     * Reads a required, non-blank string.
     *
     * @param name the field name, not null
     * @return the string, empty if an error was reported, not null
     */
    public String text(String name) {
        JsonNode value = required(name);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            return invalid(name, value, "a non-empty string", "");
        }
        return value.textValue();
    }

    /**
     * Reads an optional string.
     *
     * @param name the field name, not null
     * @param defaultValue the default value, may be null
     * @return the string
     */
    public String text(String name, String defaultValue) {
        return has(name) ? text(name) : defaultValue;
    }

    /**
     * Reads a required string that must match a pattern.
     *
     * @param name the field name, not null
     * @param pattern the regular expression that the whole string must match, not null
     * @param expected the description of the expected format for error messages, not null
     * @return the string, empty if an error was reported, not null
     */
    public String text(String name, String pattern, String expected) {
        String text = text(name);
        if (!text.isEmpty() && !text.matches(pattern)) {
            return invalid(name, node.get(name), expected, "");
        }
        return text;
    }

    /**
     * Reads a required integer.
     *
     * @param name the field name, not null
     * @param minimum the minimum value
     * @param maximum the maximum value
     * @return the number, {@code minimum} if an error was reported
     */
    public long number(String name, long minimum, long maximum) {
        JsonNode value = required(name);
        if (value == null) {
            return minimum;
        }
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= minimum
                && value.longValue() <= maximum;
        return valid
                ? value.longValue()
                : invalid(name, value, "an integer from " + minimum + " to " + maximum, minimum);
    }

    /**
     * Reads an optional integer.
     *
     * @param name the field name, not null
     * @param minimum the minimum value
     * @param maximum the maximum value
     * @param defaultValue the default value
     * @return the number
     */
    public long number(String name, long minimum, long maximum, long defaultValue) {
        return has(name) ? number(name, minimum, maximum) : defaultValue;
    }

    /**
     * Reads an optional boolean.
     *
     * @param name the field name, not null
     * @param defaultValue the default value
     * @return the value
     */
    public boolean flag(String name, boolean defaultValue) {
        if (!has(name)) {
            return defaultValue;
        }
        JsonNode value = node.get(name);
        return value.isBoolean() ? value.booleanValue() : invalid(name, value, "true or false", defaultValue);
    }

    /**
     * Reads an enum constant, written in lower case with hyphens.
     *
     * @param name the field name, not null
     * @param type the enum type, not null
     * @param defaultValue the default value, null if the field is required
     * @return the constant; the first constant if an error was reported, not null
     */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E defaultValue) {
        E[] constants = type.getEnumConstants();
        if (defaultValue != null && !has(name)) {
            return defaultValue;
        }
        String text = text(name);
        for (E value : constants) {
            if (yamlName(value).equals(text)) {
                return value;
            }
        }
        String expected = Stream.of(constants).map(Fields::yamlName).collect(Collectors.joining(", "));
        return text.isEmpty() ? constants[0] : invalid(name, node.get(name), "one of " + expected, constants[0]);
    }

    /**
     * Reads an optional list of non-blank strings.
     *
     * @param name the field name, not null
     * @return the strings, empty if the field is missing, not null
     */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (JsonNode value : list(name)) {
            if (value.isTextual() && !value.textValue().isBlank()) {
                texts.add(value.textValue());
            } else {
                invalid(name + "[" + texts.size() + "]", value, "a non-empty string", "");
            }
        }
        return List.copyOf(texts);
    }

    /**
     * Reads a required mapping.
     *
     * @param name the field name, not null
     * @return its fields, empty if an error was reported, not null
     */
    public Fields object(String name) {
        JsonNode value = required(name);
        if (value instanceof ObjectNode object) {
            return new Fields(reader, object, pathOf(name));
        }
        if (value != null) {
            invalid(name, value, "a mapping of fields", "");
        }
        return new Fields(reader, JsonNodeFactory.instance.objectNode(), pathOf(name));
    }

    /**
     * Reads an optional list of mappings.
     *
     * @param name the field name, not null
     * @return the mappings, empty if the field is missing, not null
     */
    public List<Fields> objects(String name) {
        List<Fields> objects = new ArrayList<>();
        int index = 0;
        for (JsonNode value : list(name)) {
            String inner = name + "[" + index++ + "]";
            if (value instanceof ObjectNode object) {
                objects.add(new Fields(reader, object, pathOf(inner)));
            } else {
                invalid(inner, value, "a mapping of fields", "");
            }
        }
        return objects;
    }

    /** Reports an error for every field that was not read. */
    public void reportUnknownFields() {
        node.fieldNames().forEachRemaining(name -> {
            if (!supported.contains(name)) {
                String message = "unknown field " + name + "; supported fields: "
                        + supported.stream().sorted().collect(Collectors.joining(", "));
                reader.report(ResultCode.FIELD_UNKNOWN, pathOf(name), message);
            }
        });
    }

    /**
     * Reports a field whose value contradicts another field or setting.
     *
     * @param name the field name, not null
     * @param message the error message, not null
     */
    public void reportContradiction(String name, String message) {
        reader.report(ResultCode.FIELD_CONTRADICTORY, pathOf(name), message);
    }

    private Iterable<JsonNode> list(String name) {
        if (!has(name)) {
            return List.of();
        }
        JsonNode value = node.get(name);
        return value.isArray() ? value : invalid(name, value, "a list", List.<JsonNode>of());
    }

    private JsonNode required(String name) {
        if (!has(name)) {
            reader.report(ResultCode.FIELD_MISSING, pathOf(name), "missing field " + name);
            return null;
        }
        return node.get(name);
    }

    private <T> T invalid(String name, JsonNode value, String expected, T defaultValue) {
        reader.report(ResultCode.FIELD_INVALID, pathOf(name), "must be " + expected + ", not " + value);
        return defaultValue;
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String yamlName(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
