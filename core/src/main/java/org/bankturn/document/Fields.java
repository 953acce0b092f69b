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
 * The fields of one mapping in a document.
 *
 * <p>Read each field that is known, then call {@link #reportUnknownFields()}, which reports the others. A field that is missing or
 * wrong is reported and read as a harmless value.
 *
 * <p>Fields is mutable and not thread-safe.
 */
public final class Fields {
    private final DocumentReader reader;
    private final ObjectNode node;
    private final String path;
    private final Set<String> known = new HashSet<>();

    Fields(DocumentReader reader, ObjectNode node, String path) {
        this.reader = reader;
        this.node = node;
        this.path = path;
    }

    /**
     * Tells whether a field is there.
     *
     * @param name the field's name, not null
     * @return true if it is there and not null
     */
    public boolean has(String name) {
        known.add(name);
        return node.hasNonNull(name);
    }

    /**
     * Returns where a field stands.
     *
     * @param name the field's name, not null
     * @return its location, not null
     */
    public SourceLocation locationOf(String name) {
        return reader.locationOf(pathOf(name));
    }

    /**
     * Reads a text that must be there and not be empty.
     *
     * @param name the field's name, not null
     * @return the text, empty if it was reported, not null
     */
    public String text(String name) {
        JsonNode value = required(name);
        if (value == null) {
            return "";
        }
        if (!value.isTextual() || value.textValue().isBlank()) {
            return invalid(name, value, "a text that is not empty", "");
        }
        return value.textValue();
    }

    /**
     * Reads a text that may be missing.
     *
     * @param name the field's name, not null
     * @param missing the value if the field is missing, null allowed
     * @return the text
     */
    public String text(String name, String missing) {
        return has(name) ? text(name) : missing;
    }

    /**
     * Reads a text of a given shape that must be there.
     *
     * @param name the field's name, not null
     * @param pattern the regular expression that the whole text must match, not null
     * @param wanted the shape in words, not null
     * @return the text, empty if it was reported, not null
     */
    public String text(String name, String pattern, String wanted) {
        String text = text(name);
        if (!text.isEmpty() && !text.matches(pattern)) {
            return invalid(name, node.get(name), wanted, "");
        }
        return text;
    }

    /**
     * Reads a whole number that must be there.
     *
     * @param name the field's name, not null
     * @param minimum the least value
     * @param maximum the greatest value
     * @return the number, {@code minimum} if it was reported
     */
    public long number(String name, long minimum, long maximum) {
        JsonNode value = required(name);
        if (value == null) {
            return minimum;
        }
        boolean fits = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= minimum
                && value.longValue() <= maximum;
        return fits
                ? value.longValue()
                : invalid(name, value, "a whole number from " + minimum + " to " + maximum, minimum);
    }

    /**
     * Reads a whole number that may be missing.
     *
     * @param name the field's name, not null
     * @param minimum the least value
     * @param maximum the greatest value
     * @param missing the value if the field is missing
     * @return the number
     */
    public long number(String name, long minimum, long maximum, long missing) {
        return has(name) ? number(name, minimum, maximum) : missing;
    }

    /**
     * Reads true or false.
     *
     * @param name the field's name, not null
     * @param missing the value if the field is missing
     * @return the value
     */
    public boolean flag(String name, boolean missing) {
        if (!has(name)) {
            return missing;
        }
        JsonNode value = node.get(name);
        return value.isBoolean() ? value.booleanValue() : invalid(name, value, "true or false", missing);
    }

    /**
     * Reads one of an enum's values, written in lower case with hyphens.
     *
     * @param name the field's name, not null
     * @param type the enum, not null
     * @param missing the value if the field is missing, null if it must be there
     * @return the value; the first of the enum if it was reported, not null
     */
    public <E extends Enum<E>> E choice(String name, Class<E> type, E missing) {
        E[] all = type.getEnumConstants();
        if (missing != null && !has(name)) {
            return missing;
        }
        String text = text(name);
        for (E value : all) {
            if (spelling(value).equals(text)) {
                return value;
            }
        }
        String wanted = Stream.of(all).map(Fields::spelling).collect(Collectors.joining(", "));
        return text.isEmpty() ? all[0] : invalid(name, node.get(name), "one of " + wanted, all[0]);
    }

    /**
     * Reads a list of texts that may be missing.
     *
     * @param name the field's name, not null
     * @return the texts, empty if the field is missing, not null
     */
    public List<String> texts(String name) {
        List<String> texts = new ArrayList<>();
        for (JsonNode value : list(name)) {
            if (value.isTextual() && !value.textValue().isBlank()) {
                texts.add(value.textValue());
            } else {
                invalid(name + "[" + texts.size() + "]", value, "a text that is not empty", "");
            }
        }
        return List.copyOf(texts);
    }

    /**
     * Reads a mapping that must be there.
     *
     * @param name the field's name, not null
     * @return its fields, none if it was reported, not null
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
     * Reads a list of mappings that may be missing.
     *
     * @param name the field's name, not null
     * @return the mappings, empty if the field is missing, not null
     */
    public List<Fields> objects(String name) {
        List<Fields> objects = new ArrayList<>();
        int position = 0;
        for (JsonNode value : list(name)) {
            String inner = name + "[" + position++ + "]";
            if (value instanceof ObjectNode object) {
                objects.add(new Fields(reader, object, pathOf(inner)));
            } else {
                invalid(inner, value, "a mapping of fields", "");
            }
        }
        return objects;
    }

    /** Reports every field that was not read. */
    public void reportUnknownFields() {
        node.fieldNames().forEachRemaining(name -> {
            if (!known.contains(name)) {
                String message = "unknown field " + name + "; known here: "
                        + known.stream().sorted().collect(Collectors.joining(", "));
                reader.report(ResultCode.FIELD_UNKNOWN, pathOf(name), message);
            }
        });
    }

    /**
     * Reports a field whose value contradicts another.
     *
     * @param name the field's name, not null
     * @param message what is wrong, not null
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

    private <T> T invalid(String name, JsonNode value, String wanted, T harmless) {
        reader.report(ResultCode.FIELD_INVALID, pathOf(name), "must be " + wanted + ", not " + value);
        return harmless;
    }

    private String pathOf(String name) {
        return path.isEmpty() ? name : path + "." + name;
    }

    private static String spelling(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
