package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Function;

/** The formats in which the tool prints answers. */
enum OutputFormat {
    /** Human-readable text. */
    TEXT {
        @Override
        String render(JsonNode answer, Function<JsonNode, String> text) {
            return text.apply(answer);
        }
    },
    /** The unmodified answer, as one JSON document. */
    JSON {
        @Override
        String render(JsonNode answer, Function<JsonNode, String> text) {
            return answer.toString();
        }
    };

    abstract String render(JsonNode answer, Function<JsonNode, String> text);
}
