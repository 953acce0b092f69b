package org.bankturn.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.bankturn.time.Clock;

/**
 * One connection to a target, which carries one request at a time.
 *
 * <p>It may be used again only if the answer was whole, named the request, asked for no end, and nothing followed it.
 * TargetConnection is confined to its reactor's thread.
 */
public final class TargetConnection {
    private static final int MAX_HEAD_BYTES = 32 << 10;
    private static final long DEFAULT_MAX_IDLE_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 700;

    private final ITcpSocket socket;
    private final Clock clock;
    private final ByteQueue received = new ByteQueue();
    private ResponseListener listener;
    private BodyDecoder body;
    private boolean accepted;
    private boolean noResponseBody;
    private boolean writing;
    private boolean notReusable;
    private boolean closed;
    private final long openedMillis;
    private long idleSinceMillis;
    private long lastReadMillis;
    private long responseCount;
    private long maxIdleMillis = DEFAULT_MAX_IDLE_MILLIS;

    /** Connects; the promise fails if that takes longer than {@code timeoutMillis}. */
    public static Promise<TargetConnection> connect(
            NioReactor reactor, Clock clock, InetSocketAddress address, long timeoutMillis) {
        return TcpSocket.connect(reactor, address, Duration.ofMillis(timeoutMillis), null)
                .map(socket -> {
                    TargetConnection connection = new TargetConnection(socket, clock);
                    connection.readMore();
                    return connection;
                });
    }

    private TargetConnection(ITcpSocket socket, Clock clock) {
        this.socket = socket;
        this.clock = clock;
        this.openedMillis = clock.millis();
        this.idleSinceMillis = openedMillis;
        this.lastReadMillis = idleSinceMillis;
    }

    /** Returns true if a request may be sent now. */
    public boolean isUsable() {
        return !closed
                && !notReusable
                && listener == null
                && !writing
                && clock.millis() - idleSinceMillis < maxIdleMillis;
    }

    /** Returns since when no request was under way. */
    public long idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Returns when it was opened. */
    public long openedMillis() {
        return openedMillis;
    }

    /** Returns when something came on it last, or when it was opened. */
    public long lastReadMillis() {
        return lastReadMillis;
    }

    /** Returns true if it carried an answer before the request that is under way. */
    public boolean hasReceivedResponse() {
        return responseCount > 0;
    }

    /** Returns how many whole answers it has carried. */
    public long responseCount() {
        return responseCount;
    }

    /** Returns true if the connection is no longer open. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Sends a request. A connection that turns out to have ended tells the listener so before this returns.
     *
     * @param request its bytes, head and body, not null
     * @param expectsNoBody true if the answer has no body whatever its head says
     * @param answers takes the answer, not null
     */
    public void send(byte[] request, boolean expectsNoBody, ResponseListener answers) {
        listener = answers;
        noResponseBody = expectsNoBody;
        writing = true;
        socket.write(ByteBuf.wrapForReading(request)).whenComplete((nothing, failure) -> {
            writing = false;
            if (failure != null) {
                fail(TransportFailure.RESET);
            }
        });
    }

    /** Closes the connection; the listener hears nothing more. */
    public void close() {
        listener = null;
        if (!closed) {
            closed = true;
            socket.closeEx(new IOException("closed here"));
        }
    }

    private void readMore() {
        socket.read().whenComplete((bytes, failure) -> {
            if (closed) {
                if (bytes != null) {
                    bytes.recycle();
                }
                return;
            }
            if (failure != null) {
                fail(TransportFailure.RESET);
                return;
            }
            if (bytes == null) {
                endOfInput();
                return;
            }
            lastReadMillis = clock.millis();
            received.add(bytes);
            parseResponses();
            if (!closed) {
                readMore();
            }
        });
    }

    private void endOfInput() {
        boolean whole = body != null && body.endsAtClose();
        if (!whole) {
            fail(TransportFailure.CLOSED);
            return;
        }
        ResponseListener waiting = listener;
        boolean answered = accepted;
        close();
        if (waiting == null) {
            return;
        }
        if (answered) {
            waiting.onComplete();
        } else {
            waiting.onFailure(TransportFailure.CLOSED);
        }
    }

    private void fail(TransportFailure failure) {
        ResponseListener waiting = listener;
        close();
        if (waiting != null) {
            waiting.onFailure(failure);
        }
    }

    private void parseResponses() {
        try {
            while (!closed && received.size() > 0) {
                if (listener == null) {
                    close();
                    return;
                }
                if (body == null && !parseHead()) {
                    return;
                }
                if (body != null && !closed && !decodeBody()) {
                    return;
                }
            }
        } catch (HttpFormatException e) {
            fail(TransportFailure.MALFORMED);
        }
    }

    /** Takes the next head; returns false if it is not whole yet. */
    private boolean parseHead() throws HttpFormatException {
        HttpHead head = HttpHeadParser.parseNext(received, MAX_HEAD_BYTES);
        if (head == null) {
            return false;
        }
        int status = head.status();
        if (status < 100) {
            throw new HttpFormatException("no status: " + head.second());
        }
        if (status < 200) {
            return true;
        }
        body = BodyDecoder.ofResponse(head, noResponseBody);
        accepted = listener.onHead(head);
        notReusable |= !accepted || head.fieldContains("connection", "close");
        readKeepAlive(head.field("keep-alive"));
        if (body.isDone() && !closed) {
            responseComplete();
        }
        return true;
    }

    /** Takes what there is of the body; returns false if more must come first. */
    private boolean decodeBody() throws HttpFormatException {
        byte[] part = body.decode(received);
        boolean whole = body.isDone();
        if (accepted && part.length > 0) {
            listener.onBodyPart(part);
        }
        if (whole && !closed) {
            responseComplete();
        }
        return whole;
    }

    private void readKeepAlive(Optional<String> value) {
        if (value.isEmpty()) {
            return;
        }
        for (String part : value.get().split(",", -1)) {
            String trimmed = part.trim();
            if (trimmed.startsWith("timeout=")) {
                try {
                    maxIdleMillis = Long.parseLong(trimmed.substring("timeout=".length())) * 1_000 - IDLE_MARGIN_MILLIS;
                } catch (NumberFormatException e) {
                    notReusable = true;
                }
            }
        }
    }

    private void responseComplete() {
        body = null;
        if (!accepted) {
            return;
        }
        ResponseListener waiting = listener;
        listener = null;
        idleSinceMillis = clock.millis();
        responseCount++;
        notReusable |= received.size() > 0 || writing;
        if (notReusable) {
            close();
        }
        waiting.onComplete();
    }
}
