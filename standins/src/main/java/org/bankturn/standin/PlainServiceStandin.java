package org.bankturn.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in for a plain service that counts the runs of each call.
 *
 * <p>Instances that use the same map share their counts.
 */
public final class PlainServiceStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final long workMillis;
    private final Map<String, Integer> runsById;
    private StandinServer server;

    /**
     * Starts a service.
     *
     * @param port its port on loopback
     * @param workMillis the duration of a call
     * @param runsById the run counts by call id; may be shared, not null
     * @return the service, not null
     * @throws IOException if the port is taken
     */
    public static PlainServiceStandin start(int port, long workMillis, Map<String, Integer> runsById)
            throws IOException {
        PlainServiceStandin service = new PlainServiceStandin(workMillis, runsById);
        service.server = StandinServer.start(port, reactor -> service.servlet());
        return service;
    }

    /** Creates a map for run counts that can be shared, not null. */
    public static Map<String, Integer> newCounts() {
        return new ConcurrentHashMap<>();
    }

    private PlainServiceStandin(long workMillis, Map<String, Integer> runsById) {
        this.workMillis = workMillis;
        this.runsById = runsById;
    }

    @Override
    public void close() {
        server.close();
    }

    private AsyncServlet servlet() {
        return this::call;
    }

    private Promise<HttpResponse> call(HttpRequest request) {
        return request.loadBody().then(body -> {
            JsonNode read = JSON.readTree(body.getArray());
            String id = read.path("id").asText();
            runsById.merge(id, 1, Integer::sum);
            String answer = JSON.createObjectNode().put("confirmed", id).toString();
            return Promises.delay(workMillis)
                    .map(nothing -> HttpResponse.ok200()
                            .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                            .withBody(answer)
                            .build());
        });
    }
}
