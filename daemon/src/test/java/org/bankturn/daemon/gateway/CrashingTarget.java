package org.bankturn.daemon.gateway;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates targets that crash on requests with a given body and answer all others. */
public final class CrashingTarget {
    private CrashingTarget() {}

    /**
     * Returns a target on loopback, not null.
     *
     * @param crashingBody the body of requests that crash it, not null
     * @param crashes incremented when it crashes, not null
     */
    public static ScriptedTarget crashingOn(String crashingBody, AtomicInteger crashes) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).equals(crashingBody)) {
                crashes.incrementAndGet();
                self[0].crash();
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        });
        return self[0];
    }
}
