package org.bankturn.document;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.result.ResultCode;

/**
 * Parses a YAML document into fields with source locations.
 *
 * <p>Errors are collected rather than thrown: read all fields, then check {@link #errors()}. A document with errors must
 * not be used.
 *
 * <p>DocumentReader is mutable and not thread-safe.
 */
public final class DocumentReader {
    private static final YAMLFactory YAML = YAMLFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();
    private static final int MAX_DEPTH = 32;

    private final String file;
    private final Map<String, SourceLocation> locations = new HashMap<>();
    private final List<DocumentError> errors = new ArrayList<>();

    /**
     * Creates a reader for one document.
     *
     * @param file the file name for error messages, not null
     * @return the reader, not null
     */
    public static DocumentReader of(String file) {
        return new DocumentReader(file);
    }

    private DocumentReader(String file) {
        this.file = file;
    }

    /**
     * Parses the document.
     *
     * @param text the YAML text, not null
     * @return the fields of the document; empty if the document is not a mapping, not null
     */
    public Fields read(String text) {
        ObjectNode empty = JsonNodeFactory.instance.objectNode();
        try (JsonParser parser = YAML.createParser(text)) {
            JsonToken first = parser.nextToken();
            JsonNode root = first == null ? empty : build(parser, "", 0);
            if (root instanceof ObjectNode object) {
                return new Fields(this, object, "");
            }
            report(ResultCode.FIELD_INVALID, "", "the document must be a mapping of fields");
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            int line = at == null ? 0 : at.getLineNr();
            int column = at == null ? 0 : at.getColumnNr();
            SourceLocation location = new SourceLocation(file, line, column, "");
            String reason = e.getOriginalMessage().lines().findFirst().orElse("invalid YAML");
            errors.add(new DocumentError(ResultCode.FILE_UNREADABLE, location, reason));
        } catch (IOException | RuntimeException e) {
            report(ResultCode.FILE_UNREADABLE, "", "cannot parse YAML: " + e.getMessage());
        }
        return new Fields(this, empty, "");
    }

    /** Returns the errors found so far, in the order of detection, not null. */
    public List<DocumentError> errors() {
        return List.copyOf(errors);
    }

    /**
     * Returns the source location of a field.
     *
     * @param path the field's path, not null
     * @return its location, or that of the nearest enclosing field if it is missing, not null
     */
    public SourceLocation locationOf(String path) {
        String nearest = path;
        while (!nearest.isEmpty() && !locations.containsKey(nearest)) {
            nearest = nearest.substring(0, Math.max(0, Math.max(nearest.lastIndexOf('.'), nearest.lastIndexOf('['))));
        }
        SourceLocation found = locations.getOrDefault(nearest, new SourceLocation(file, 1, 1, ""));
        return new SourceLocation(file, found.line(), found.column(), path);
    }

    void report(ResultCode code, String path, String message) {
        errors.add(new DocumentError(code, locationOf(path), message));
    }

    private JsonNode build(JsonParser parser, String path, int depth) throws IOException {
        JsonLocation at = parser.currentTokenLocation();
        locations.putIfAbsent(path, new SourceLocation(file, at.getLineNr(), at.getColumnNr(), path));
        if (depth > MAX_DEPTH) {
            throw new IOException("nesting exceeds the maximum depth of " + MAX_DEPTH);
        }
        JsonNodeFactory factory = JsonNodeFactory.instance;
        return switch (parser.currentToken()) {
            case START_OBJECT -> buildObject(parser, path, depth);
            case START_ARRAY -> buildArray(parser, path, depth);
            case VALUE_NUMBER_INT -> factory.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> factory.numberNode(parser.getDecimalValue());
            case VALUE_TRUE -> factory.booleanNode(true);
            case VALUE_FALSE -> factory.booleanNode(false);
            case VALUE_NULL -> factory.nullNode();
            default -> factory.textNode(parser.getText());
        };
    }

    private ObjectNode buildObject(JsonParser parser, String path, int depth) throws IOException {
        ObjectNode object = JsonNodeFactory.instance.objectNode();
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            String inner = path.isEmpty() ? name : path + "." + name;
            JsonLocation at = parser.currentTokenLocation();
            locations.put(inner, new SourceLocation(file, at.getLineNr(), at.getColumnNr(), inner));
            parser.nextToken();
            object.set(name, build(parser, inner, depth + 1));
        }
        return object;
    }

    private ArrayNode buildArray(JsonParser parser, String path, int depth) throws IOException {
        ArrayNode array = JsonNodeFactory.instance.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            array.add(build(parser, path + "[" + array.size() + "]", depth + 1));
        }
        return array;
    }
}
