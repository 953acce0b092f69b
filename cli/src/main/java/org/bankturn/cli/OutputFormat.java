package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Function;

/** How the tool prints an answer. */
enum OutputFormat {
    /** For people. */
    TEXT {
        @Override
        String render(JsonNode answer, Function<JsonNode, String> text) {
            return text.apply(answer);
        }
    },
    /** For programs: the answer as it came, one JSON document. */
    JSON {
        @Override
        String render(JsonNode answer, Function<JsonNode, String> text) {
            return answer.toString();
        }
    };

    abstract String render(JsonNode answer, Function<JsonNode, String> text);
}
