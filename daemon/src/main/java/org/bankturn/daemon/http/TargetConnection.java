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
 * A client connection to a target, which carries one request at a time.
 *
 * <p>It may be reused only if the response was complete and accepted by its listener, did not ask to close the
 * connection, and was not followed by further bytes. TargetConnection is confined to its reactor's thread.
 */
public final class TargetConnection {
    private static final int MAX_HEAD_BYTES = 32 << 10;

    /** Exceeds the number of interim responses that any protocol extension sends. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final long DEFAULT_MAX_IDLE_MILLIS = 4_000;
    private static final long IDLE_MARGIN_MILLIS = 700;

    private final ITcpSocket socket;
    private final Clock clock;
    private final ByteQueue received = new ByteQueue();
    private ResponseListener listener;
    private Runnable idleCloseListener = () -> {};
    private BodyDecoder body;
    private boolean accepted;
    private boolean noResponseBody;
    private long responseBytes;
    private int interimResponses;
    private boolean writing;
    private boolean notReusable;
    private boolean closed;
    private String malformation;
    private final long openedMillis;
    private long idleSinceMillis;
    private long lastReadMillis;
    private long responseCount;
    private long maxIdleMillis = DEFAULT_MAX_IDLE_MILLIS;

    /** Connects to a target; the promise fails if that takes longer than {@code timeoutMillis}. */
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

    /** Returns the time since which the connection has been idle. */
    public long idleSinceMillis() {
        return idleSinceMillis;
    }

    /** Returns the time at which the connection was opened. */
    public long openedMillis() {
        return openedMillis;
    }

    /** Returns the time of the last read, or the time of opening before the first. */
    public long lastReadMillis() {
        return lastReadMillis;
    }

    /** Returns true if a response was received in full before the current request. */
    public boolean hasReceivedResponse() {
        return responseCount > 0;
    }

    /** Returns the number of complete responses received. */
    public long responseCount() {
        return responseCount;
    }

    /** Returns true if only the end of the connection delimits the response that is being received. */
    public boolean responseEndsAtClose() {
        return body != null && body.endsAtClose();
    }

    /** Returns the number of bytes of the body that are still to come, -1 if its head does not tell. */
    public long remainingBodyBytes() {
        return body == null ? -1 : body.remainingLength();
    }

    /** Returns what is wrong with the bytes that were received, empty if nothing is known to be, not null. */
    public Optional<String> malformation() {
        return Optional.ofNullable(malformation);
    }

    /** Returns true if the connection is closed. */
    public boolean isClosed() {
        return closed;
    }

    /**
     * Sends a request. If the connection proves to be closed, the listener may be notified before this method returns.
     *
     * @param request the encoded head and body, not null
     * @param expectsNoBody true if the response has no body regardless of its header fields
     * @param responseListener receives the response, not null
     */
    public void send(byte[] request, boolean expectsNoBody, ResponseListener responseListener) {
        listener = responseListener;
        noResponseBody = expectsNoBody;
        responseBytes = 0;
        interimResponses = 0;
        writing = true;
        socket.write(ByteBuf.wrapForReading(request)).whenComplete((ignored, failure) -> {
            writing = false;
            if (failure != null) {
                fail(TransportFailure.RESET);
            }
        });
    }

    /** Sets what runs when the target closes the connection while no response is awaited. */
    public void onIdleClose(Runnable idleListener) {
        idleCloseListener = idleListener;
    }

    /** Closes the connection without notifying the listener. */
    public void close() {
        listener = null;
        if (!closed) {
            closed = true;
            socket.closeEx(new IOException("connection closed locally"));
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
            responseBytes += bytes.readRemaining();
            received.add(bytes);
            parseResponses();
            checkResponseSize();
            if (!closed) {
                readMore();
            }
        });
    }

    private void endOfInput() {
        boolean complete = body != null && body.endsAtClose();
        if (!complete) {
            fail(TransportFailure.CLOSED);
            return;
        }
        ResponseListener current = listener;
        boolean wasAccepted = accepted;
        close();
        if (current == null) {
            return;
        }
        if (wasAccepted) {
            current.onEndOfConnection();
        } else {
            current.onFailure(TransportFailure.CLOSED);
        }
    }

    private void fail(TransportFailure failure) {
        ResponseListener current = listener;
        close();
        if (current != null) {
            current.onFailure(failure);
        } else {
            idleCloseListener.run();
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
            malformation = e.getMessage();
            fail(TransportFailure.MALFORMED);
        }
    }

    private void checkResponseSize() {
        if (listener != null && responseBytes > listener.maxResponseBytes()) {
            fail(TransportFailure.TOO_LARGE);
        }
    }

    /** Parses the next head; returns false if it is still incomplete. */
    private boolean parseHead() throws HttpFormatException {
        HttpHead head = HttpHeadParser.parseResponse(received, MAX_HEAD_BYTES);
        if (head == null) {
            return false;
        }
        int status = head.status();
        if (status == SWITCHING_PROTOCOLS) {
            throw new HttpFormatException("change of the protocol that was not asked for");
        }
        if (status < 200) {
            interimResponses++;
            if (interimResponses > MAX_INTERIM_RESPONSES) {
                throw new HttpFormatException("more than " + MAX_INTERIM_RESPONSES + " interim responses");
            }
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

    /** Decodes the received part of the body; returns false if the body is still incomplete. */
    private boolean decodeBody() throws HttpFormatException {
        byte[] part = body.decode(received);
        boolean complete = body.isDone();
        if (accepted && part.length > 0) {
            listener.onBodyPart(part);
        }
        if (complete && !closed) {
            responseComplete();
        }
        return complete;
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
        ResponseListener current = listener;
        listener = null;
        idleSinceMillis = clock.millis();
        responseCount++;
        notReusable |= received.size() > 0 || writing;
        if (notReusable) {
            close();
        }
        current.onComplete();
    }
}
