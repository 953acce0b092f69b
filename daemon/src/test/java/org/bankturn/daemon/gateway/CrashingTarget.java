package org.bankturn.daemon.gateway;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Creates targets that crash on requests with a given body or prompt part and answer all others. */
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

    /**
     * Returns a target on loopback whose address another one, which answers all requests, takes over when it crashes.
     *
     * @param crashingBody the body of requests that crash it, not null
     * @param crashes incremented when it crashes, not null
     */
    static ScriptedTarget crashingOnWithSuccessor(String crashingBody, AtomicInteger crashes) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            if (self[0].bodies.get(number - 1).equals(crashingBody)) {
                crashes.incrementAndGet();
                self[0].crashAndSucceed("successor", CrashingTarget::answerOk);
                return false;
            }
            return answerOk(number, id, socket);
        });
        return self[0];
    }

    private static boolean answerOk(int number, String id, Socket socket) throws IOException {
        ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
        return true;
    }

    /**
     * Returns a target on loopback, not null.
     *
     * @param crashingPart the id of the prompt part whose requests crash it, not null
     * @param response what it writes to such a request before it crashes, not null
     * @param crashes incremented when it crashes, not null
     */
    public static ScriptedTarget crashingOnPart(String crashingPart, CrashResponse response, AtomicInteger crashes)
            throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            String parts = ScriptedTarget.field(self[0].heads.get(number - 1), "parts");
            if (List.of(parts.split(",", -1)).contains(crashingPart)) {
                crashes.incrementAndGet();
                ScriptedTarget.write(socket, response.text(id));
                self[0].crash();
                return false;
            }
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 2\r\n\r\nok");
            return true;
        });
        return self[0];
    }

    /** What a target writes before it crashes. */
    public enum CrashResponse {
        /** Nothing. */
        NONE("", ""),
        /** A response of which a part is missing. */
        TRUNCATED("HTTP/1.1 200 OK\r\nId: ", "\r\nContent-Length: 100\r\n\r\nab"),
        /** A part of a response that ends with its connection. */
        CLOSE_DELIMITED("HTTP/1.1 200 OK\r\nId: ", "\r\n\r\nab");

        private final String beforeId;
        private final String afterId;

        CrashResponse(String beforeId, String afterId) {
            this.beforeId = beforeId;
            this.afterId = afterId;
        }

        /** Returns the bytes that are written before the crash, for the request with an id, not null. */
        public String text(String id) {
            return this == NONE ? "" : beforeId + id + afterId;
        }
    }
}
