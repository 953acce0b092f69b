package org.bankturn.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Makes targets that end as soon as they begin a request with one body, and answer all others. */
public final class CrashingTarget {
    private CrashingTarget() {}

    /**
     * Returns a target on loopback, not null.
     *
     * @param deadly the body of requests that end it, not null
     * @param ended counts it when it ends, not null
     */
    public static ScriptedTarget crashingOn(String deadly, AtomicInteger ended) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).equals(deadly)) {
                ended.incrementAndGet();
                self[0].crash();
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        });
        return self[0];
    }
}
