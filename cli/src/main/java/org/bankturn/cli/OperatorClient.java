package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/**
 * An HTTP client for entry and control processes that fails over from one address to the next.
 *
 * <p>OperatorClient is not thread-safe.
 */
final class OperatorClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MAX_ANSWER_BYTES = 256 << 20;
    private static final int SERVER_ERROR = 500;

    private final List<String> addresses;

    /**
     * A response.
     *
     * @param status the HTTP status
     * @param body the JSON body, not null
     */
    record Answer(int status, JsonNode body) {}

    OperatorClient(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    Answer get(String path) throws IOException {
        return firstAnswer(
                address -> HttpRequest.get("http://" + address + path).build());
    }

    Answer post(String path, String text) throws IOException {
        return firstAnswer(address -> HttpRequest.post("http://" + address + path)
                .withBody(text.getBytes(StandardCharsets.UTF_8))
                .build());
    }

    Answer put(String path) throws IOException {
        return firstAnswer(
                address -> HttpRequest.put("http://" + address + path).build());
    }

    Answer delete(String path) throws IOException {
        return firstAnswer(address -> HttpRequest.builder(HttpMethod.DELETE, "http://" + address + path)
                .build());
    }

    private interface RequestFactory {
        HttpRequest create(String address);
    }

    /** Returns the first answer below 500; if there is none, the last server error. */
    private Answer firstAnswer(RequestFactory factory) throws IOException {
        Answer serverError = null;
        IOException failure = new IOException("no address given");
        for (String address : addresses) {
            try {
                Answer answer = exchange(factory, address);
                if (answer.status() < SERVER_ERROR) {
                    return answer;
                }
                serverError = answer;
            } catch (CompletionException e) {
                failure = new IOException(
                        address + " did not answer: " + e.getCause().getMessage(), e);
            }
        }
        if (serverError != null) {
            return serverError;
        }
        throw failure;
    }

    private static Answer exchange(RequestFactory factory, String address) {
        Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
        HttpClient client = HttpClient.builder(eventloop)
                .withConnectTimeout(Duration.ofSeconds(1))
                .withNoKeepAlive()
                .build();
        CompletableFuture<Answer> future = eventloop.submit(() -> Promises.timeout(
                TIMEOUT_MILLIS,
                client.request(factory.create(address))
                        .then(response -> response.loadBody(MAX_ANSWER_BYTES)
                                .then(body -> Promise.of(new Answer(
                                        response.getCode(), JSON.readTree(body.getString(StandardCharsets.UTF_8))))))));
        eventloop.run();
        return future.join();
    }
}
