package org.bankturn.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.http.HttpRequest;
import io.activej.promise.Promises;
import java.io.IOException;
import java.util.HashSet;
import java.util.Set;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.settings.Address;
import org.bankturn.membership.TargetView;

/**
 * Polls the platform's list of boxes, which may be out of date: {@code GET /boxes} returns a JSON array of objects with a
 * name and a state.
 *
 * <p>BoxListPoller is confined to its reactor's thread.
 */
final class BoxListPoller {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long POLL_INTERVAL_MILLIS = 1_000;
    private static final int MAX_LIST_BYTES = 16 << 20;
    private static final int OK = 200;

    private final Address boxList;
    private final BackendClient client;
    private final TargetView targets;
    private boolean stopped;

    BoxListPoller(Address boxList, BackendClient client, TargetView targets) {
        this.boxList = boxList;
        this.client = client;
        this.targets = targets;
    }

    void start() {
        poll();
    }

    void stop() {
        stopped = true;
    }

    private void poll() {
        if (stopped) {
            return;
        }
        client.send(HttpRequest.get("http://" + boxList + "/boxes").build())
                .response()
                .then(response -> response.loadBody(MAX_LIST_BYTES).map(body -> {
                    if (response.getCode() == OK) {
                        targets.setListedLeaving(leavingBoxes(body.getArray()));
                    }
                    return null;
                }))
                .whenComplete(() -> Promises.delay(POLL_INTERVAL_MILLIS).whenResult(this::poll));
    }

    private static Set<String> leavingBoxes(byte[] list) throws IOException {
        Set<String> leaving = new HashSet<>();
        for (JsonNode box : JSON.readTree(list)) {
            if (box.path("state").asText().equals("leaving")) {
                leaving.add(box.path("name").asText());
            }
        }
        return leaving;
    }
}
