package org.bankturn.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.time.Clock;

/** A stand-in for the platform's box list, which shows changes with a delay. */
public final class BoxListStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Clock clock;
    private final long delayMillis;
    private final Map<String, Long> leavingSinceMillis = new ConcurrentHashMap<>();
    private StandinServer server;

    /**
     * Starts the server with an empty list, on which every box counts as live.
     *
     * @param port its port on loopback
     * @param delayMillis the delay of changes
     * @param clock the clock, not null
     * @return the list, not null
     * @throws IOException if the port is taken
     */
    public static BoxListStandin start(int port, long delayMillis, Clock clock) throws IOException {
        BoxListStandin list = new BoxListStandin(delayMillis, clock);
        list.server = StandinServer.start(
                port,
                reactor ->
                        request -> HttpResponse.ok200().withBody(list.render()).toPromise());
        return list;
    }

    private BoxListStandin(long delayMillis, Clock clock) {
        this.delayMillis = delayMillis;
        this.clock = clock;
    }

    /**
     * Marks a box as leaving.
     *
     * @param box its name, not null
     */
    public void markLeaving(String box) {
        leavingSinceMillis.put(box, clock.millis());
    }

    @Override
    public void close() {
        server.close();
    }

    private String render() {
        ArrayNode list = JSON.createArrayNode();
        leavingSinceMillis.forEach((box, since) -> {
            if (clock.millis() - since >= delayMillis) {
                list.addObject().put("name", box).put("state", "leaving");
            }
        });
        return list.toString();
    }
}
