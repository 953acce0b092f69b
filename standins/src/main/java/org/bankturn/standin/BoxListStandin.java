package org.bankturn.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import io.activej.http.HttpResponse;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.time.Clock;

/** The platform's list of live and leaving boxes, which shows each change only after a lag. */
public final class BoxListStandin implements AutoCloseable {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Clock clock;
    private final long lagMillis;
    private final Map<String, Long> leavingSinceMillis = new ConcurrentHashMap<>();
    private StandinServer server;

    /**
     * Starts a list on which every box is live.
     *
     * @param port its port on loopback
     * @param lagMillis how late it shows a change
     * @param clock the time, not null
     * @return the list, not null
     * @throws IOException if the port is taken
     */
    public static BoxListStandin start(int port, long lagMillis, Clock clock) throws IOException {
        BoxListStandin list = new BoxListStandin(lagMillis, clock);
        list.server = StandinServer.start(
                port,
                reactor ->
                        request -> HttpResponse.ok200().withBody(list.render()).toPromise());
        return list;
    }

    private BoxListStandin(long lagMillis, Clock clock) {
        this.lagMillis = lagMillis;
        this.clock = clock;
    }

    /**
     * Puts a box on the list as leaving.
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
            if (clock.millis() - since >= lagMillis) {
                list.addObject().put("name", box).put("state", "leaving");
            }
        });
        return list.toString();
    }
}
