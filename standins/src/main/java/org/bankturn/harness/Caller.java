package org.bankturn.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.UUID;
import org.bankturn.result.ResultCode;

/**
 * An HTTP client of entry processes that verifies every answer.
 *
 * <p>Caller is thread-safe.
 */
public final class Caller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final String DONE = "[DONE]";
    private static final int OK = 200;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final CallerStatistics statistics;
    private final Set<String> knownWeights;
    private final int tokens;

    /**
     * Creates a caller.
     *
     * @param statistics records the outcomes, not null
     * @param knownWeights the SHA-256 of the weights of every version, not null
     * @param tokens the number of tokens of a complete answer
     */
    public Caller(CallerStatistics statistics, Set<String> knownWeights, int tokens) {
        this.statistics = statistics;
        this.knownWeights = Set.copyOf(knownWeights);
        this.tokens = tokens;
    }

    /**
     * Sends a chat request and verifies that the answer is complete, belongs to it and comes from one version's weights.
     *
     * @param address the entry process, not null
     * @param account the client account, not null
     * @return the result code, 2000 if answered completely
     */
    public int chat(String address, String account) {
        String id = UUID.randomUUID().toString();
        String body = "{\"model\":\"" + DeploymentPlan.ASSISTANT + "\",\"stream\":true,\"user\":\"" + id
                + "\",\"messages\":[{\"role\":\"user\",\"content\":\"Which slots are free?\"}]}";
        return exchange(post(address, "/v1/chat/completions", account, body).build(), null, id);
    }

    /**
     * Calls a non-idempotent service with an idempotency key.
     *
     * @param address the entry process, not null
     * @param account the client account, not null
     * @param service the service's name, not null
     * @param id the id of the call, also used as its idempotency key, not null
     * @return the result code, 2000 if answered completely
     */
    public int callOnce(String address, String account, String service, String id) {
        HttpRequest request = post(address, "/services/" + service + "/calls", account, "{\"id\":\"" + id + "\"}")
                .header("Idempotency-Key", id)
                .build();
        return exchange(request, id, null);
    }

    /**
     * Calls a non-idempotent service without an idempotency key.
     *
     * @param address the entry process, not null
     * @param account the client account, not null
     * @param service the service's name, not null
     * @param id the call's id, not null
     * @return the result code, 2000 if answered completely
     */
    public int callWithoutKey(String address, String account, String service, String id) {
        HttpRequest request = post(address, "/services/" + service + "/calls", account, "{\"id\":\"" + id + "\"}")
                .build();
        return exchange(request, id, null);
    }

    private static HttpRequest.Builder post(String address, String path, String account, String body) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(40))
                .header("Content-Type", "application/json")
                .header("X-Bankturn-Account", account)
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private int exchange(HttpRequest request, String unsafeId, String chatId) {
        statistics.sent();
        try {
            HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            String text = new String(response.body(), StandardCharsets.UTF_8);
            if (response.statusCode() != OK) {
                return recordRefusal(text, unsafeId);
            }
            String error = chatId == null ? verifyCall(text, unsafeId) : verifyChat(text, chatId);
            if (error == null) {
                statistics.answerComplete(unsafeId);
            } else {
                statistics.answerIncorrect(error);
            }
            return ResultCode.REQUEST_ANSWERED.number();
        } catch (IOException e) {
            statistics.unknown("connection closed: " + e);
            return ResultCode.OUTCOME_UNKNOWN.number();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ResultCode.OUTCOME_UNKNOWN.number();
        }
    }

    private int recordRefusal(String text, String unsafeId) throws IOException {
        JsonNode answer = JSON.readTree(text);
        int code = answer.path("code").asInt();
        if (answer.path("notRun").asBoolean()) {
            statistics.refused(unsafeId);
        } else {
            statistics.unknown(text.strip());
        }
        return code;
    }

    private static String verifyCall(String text, String id) throws IOException {
        return JSON.readTree(text).path("confirmed").asText().equals(id) ? null : "answer to another request: " + text;
    }

    private String verifyChat(String text, String id) throws IOException {
        int seen = 0;
        String weights = null;
        boolean done = false;
        for (String line :
                text.lines().filter(each -> each.startsWith("data: ")).toList()) {
            String data = line.substring("data: ".length());
            if (data.equals(DONE)) {
                done = true;
                continue;
            }
            JsonNode event = JSON.readTree(data);
            String content =
                    event.path("choices").path(0).path("delta").path("content").asText();
            if (!content.equals(id + ":" + seen + " ")) {
                return "token " + seen + " is " + content;
            }
            String named = event.path("system_fingerprint").asText();
            if (!knownWeights.contains(named) || (weights != null && !weights.equals(named))) {
                return "weights " + named;
            }
            weights = named;
            seen++;
        }
        return done && seen == tokens ? null : "truncated answer with status 200: " + seen + " tokens";
    }
}
