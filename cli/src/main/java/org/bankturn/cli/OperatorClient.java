package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
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
 * Asks entry or control processes over HTTP, one address after another until one answers.
 *
 * <p>OperatorClient is used by one thread.
 */
final class OperatorClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long TIMEOUT_MILLIS = 10_000;
    private static final int MAXIMUM_ANSWER_BYTES = 256 << 20;
    private static final int SERVER_ERROR = 500;

    private final List<String> addresses;

    /**
     * An answer.
     *
     * @param status the HTTP status
     * @param body the JSON body, not null
     */
    record Answer(int status, JsonNode body) {}

    OperatorClient(List<String> addresses) {
        this.addresses = List.copyOf(addresses);
    }

    Answer get(String path) throws IOException {
        return tryEach(address -> HttpRequest.get("http://" + address + path).build());
    }

    Answer post(String path, String text) throws IOException {
        return tryEach(address -> HttpRequest.post("http://" + address + path)
                .withBody(text.getBytes(StandardCharsets.UTF_8))
                .build());
    }

    private interface RequestMaker {
        HttpRequest make(String address);
    }

    /** An answer that only tells of trouble on that side is kept while the next address is tried. */
    private Answer tryEach(RequestMaker maker) throws IOException {
        Answer troubled = null;
        IOException failed = new IOException("no address given");
        for (String address : addresses) {
            try {
                Answer answer = exchange(maker, address);
                if (answer.status() < SERVER_ERROR) {
                    return answer;
                }
                troubled = answer;
            } catch (CompletionException e) {
                failed = new IOException(
                        address + " did not answer: " + e.getCause().getMessage(), e);
            }
        }
        if (troubled != null) {
            return troubled;
        }
        throw failed;
    }

    private static Answer exchange(RequestMaker maker, String address) {
        Eventloop eventloop = Eventloop.builder().withCurrentThread().build();
        HttpClient client = HttpClient.builder(eventloop)
                .withConnectTimeout(Duration.ofSeconds(1))
                .withNoKeepAlive()
                .build();
        CompletableFuture<Answer> future = eventloop.submit(() -> Promises.timeout(
                TIMEOUT_MILLIS,
                client.request(maker.make(address))
                        .then(response -> response.loadBody(MAXIMUM_ANSWER_BYTES)
                                .then(body -> Promise.of(new Answer(
                                        response.getCode(), JSON.readTree(body.getString(StandardCharsets.UTF_8))))))));
        eventloop.run();
        return future.join();
    }
}
