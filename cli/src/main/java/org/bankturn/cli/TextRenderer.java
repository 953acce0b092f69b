package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Locale;

/** Renders answers as human-readable text. */
final class TextRenderer {
    private static final int SHORT_DIGEST_LENGTH = 12;

    private TextRenderer() {}

    static String applyResult(JsonNode answer) {
        if (answer.path("outcome").asText().equals("fileAccepted")) {
            return "accepted: " + answer.path("name").asText() + " number " + answer.path("number")
                    + " in force from index " + answer.path("index");
        }
        if (answer.path("outcome").asText().equals("fileRefused")) {
            StringBuilder text = new StringBuilder("refused, nothing applied:\n");
            answer.path("errors")
                    .forEach(error -> text.append("  ").append(error.asText()).append('\n'));
            return text.toString();
        }
        return "not known whether it was applied (" + answer.path("code").asText() + "); send it again";
    }

    static String configuration(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        text.append("index ")
                .append(answer.path("index"))
                .append(" digest ")
                .append(answer.path("digest").asText());
        text.append('\n');
        appendInService(text, answer);
        answer.path("files").forEach(file -> {
            text.append("--- ")
                    .append(file.path("name").asText())
                    .append(" number ")
                    .append(file.path("number"));
            text.append(" by ").append(file.path("submittedBy").asText()).append('\n');
            text.append(file.path("text").asText());
        });
        return text.toString();
    }

    static String history(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        answer.path("files")
                .forEach(file -> text.append(String.format(
                        Locale.ROOT,
                        "index %d  %s number %d  by %s  %s%n",
                        file.path("index").asLong(),
                        file.path("name").asText(),
                        file.path("number").asLong(),
                        file.path("submittedBy").asText(),
                        shorten(file.path("digest").asText()))));
        return text.toString();
    }

    static String status(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        text.append("leader ").append(answer.path("leader").asText("none"));
        text.append("  term ").append(answer.path("term"));
        text.append("  index ").append(answer.path("configurationIndex"));
        text.append("  keyed requests ").append(answer.path("claims")).append('\n');
        appendInService(text, answer);
        answer.path("originCopies")
                .properties()
                .forEach(entry -> text.append("origin copies granted  ")
                        .append(shorten(entry.getKey()))
                        .append("  ")
                        .append(String.format(
                                Locale.ROOT, "%.2f", entry.getValue().asDouble()))
                        .append('\n'));
        answer.path("processes").forEach(process -> appendProcess(text, process));
        return text.toString();
    }

    private static void appendProcess(StringBuilder text, JsonNode process) {
        text.append(String.format(
                Locale.ROOT,
                "%-24s %-14s %-12s index %-6d heard %d ms ago",
                process.path("process").asText(),
                process.path("role").asText(),
                process.path("dataHall").asText(),
                process.path("configurationIndex").asLong(),
                process.path("reportAgeMillis").asLong()));
        if (process.path("behindMillis").asLong() > 0) {
            text.append("  BEHIND for ")
                    .append(process.path("behindMillis").asLong())
                    .append(" ms");
        }
        process.path("loaded").forEach(manifest -> text.append("  ").append(shorten(manifest.asText())));
        if (process.path("leaving").asBoolean()) {
            text.append("  leaving");
        }
        if (!process.path("note").asText().isEmpty()) {
            text.append("  NOTE ").append(process.path("note").asText());
        }
        text.append('\n');
    }

    private static void appendInService(StringBuilder text, JsonNode answer) {
        answer.path("inService")
                .properties()
                .forEach(entry -> text.append("in service  ")
                        .append(entry.getKey())
                        .append("  ")
                        .append(shorten(entry.getValue().asText()))
                        .append('\n'));
    }

    static String evacuations(JsonNode answer) {
        StringBuilder text = new StringBuilder();
        answer.path("evacuated")
                .forEach(each -> text.append("evacuated  ")
                        .append(each.path("hall").asText())
                        .append("  since index ")
                        .append(each.path("orderIndex"))
                        .append('\n'));
        if (text.isEmpty()) {
            text.append("no data hall is evacuated\n");
        }
        if (!answer.path("fresh").asBoolean()) {
            text.append("the answering process has no contact to a majority and may have missed an order\n");
        }
        return text.toString();
    }

    /** Renders the answer to {@code GET /group}. */
    static String group(JsonNode answer) {
        StringBuilder text = new StringBuilder(answer.path("process").asText());
        text.append(answer.path("leads").asBoolean() ? " leads" : " does not lead");
        text.append(answer.path("member").asBoolean() ? "" : ", is no member");
        text.append(answer.has("leader") ? ", leader " + answer.get("leader").asText() : ", no leader known");
        text.append(", term ").append(answer.path("term").asLong()).append('\n');
        answer.path("members")
                .forEach(member ->
                        text.append(groupMember(member, answer.path("lastIndex").asLong())));
        if (answer.has("tolerableLosses")) {
            text.append("further losses tolerated: ")
                    .append(answer.get("tolerableLosses").asInt())
                    .append('\n');
        }
        return text.toString();
    }

    private static String groupMember(JsonNode member, long lastIndex) {
        JsonNode silent = member.get("silentMillis");
        long missing = lastIndex - member.path("matchIndex").asLong(lastIndex);
        return "member  " + member.path("address").asText()
                + (silent == null ? "" : "  last contact " + silent.asLong() + " ms ago")
                + (missing == 0 ? "" : ", lacks " + missing + " entries") + '\n';
    }

    private static String shorten(String digest) {
        return digest.substring(0, Math.min(SHORT_DIGEST_LENGTH, digest.length()));
    }
}
