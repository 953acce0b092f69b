package org.bankturn.daemon.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;

/**
 * A request and the means to respond to it.
 *
 * <p>Respond with {@link #respond}, or with {@link #startChunkedResponse}, {@link #writeChunk} and
 * {@link #endChunkedResponse}. {@link #abort} closes the connection, so that the client detects an incomplete response.
 *
 * <p>ServerExchange is confined to its reactor's thread.
 */
public final class ServerExchange {
    private static final Set<String> FRAMING_FIELDS = Set.of("content-length", "transfer-encoding", "connection");
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] EMPTY_BODY = new byte[0];
    private static final byte[] LINE_END = {'\r', '\n'};

    private final ServerConnection connection;
    private final HttpHead head;
    private final int bodyLength;
    private byte[] body;
    private final long receivedMillis;
    private Consumer<DisconnectCause> disconnectAction = cause -> {};
    private boolean started;
    private boolean keepAlive;
    private boolean finished;

    ServerExchange(ServerConnection connection, HttpHead head, byte[] body, long receivedMillis) {
        this.connection = connection;
        this.head = head;
        this.body = body;
        this.bodyLength = body.length;
        this.receivedMillis = receivedMillis;
    }

    /** Returns the request's head, not null. */
    public HttpHead head() {
        return head;
    }

    /** Returns the request's body, empty once it was discarded, not null. */
    public byte[] body() {
        return body;
    }

    /** Returns the size of the request's body, in bytes, also once it was discarded. */
    public int bodyLength() {
        return bodyLength;
    }

    /** Discards the request's body, so that what still refers to an ended request holds little memory. */
    public void discardBody() {
        body = EMPTY_BODY;
    }

    /** Returns the time at which the request was completely received, in milliseconds. */
    public long receivedMillis() {
        return receivedMillis;
    }

    /** Returns true if any part of the response was sent. */
    public boolean hasStartedResponse() {
        return started;
    }

    /** Returns true if the response was completed or aborted, or the client disconnected. */
    public boolean isFinished() {
        return finished;
    }

    /** Sets the action to run with the cause if the connection ends before the response is complete. */
    public void onClientDisconnect(Consumer<DisconnectCause> action) {
        disconnectAction = action;
    }

    /** Sends a complete response; replaces any framing fields in {@code response}. */
    public void respond(HttpHead response, byte[] content) {
        if (finished || started) {
            return;
        }
        started = true;
        finished = true;
        boolean persistent = shouldKeepAlive();
        HttpHead framed =
                withConnectionField(response, persistent).with("Content-Length", Integer.toString(content.length));
        boolean headRequest = head.first().equals("HEAD");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.length + 256);
        bytes.writeBytes(framed.encode());
        if (!headRequest) {
            bytes.writeBytes(content);
        }
        connection.send(bytes.toByteArray());
        connection.finish(this, persistent);
    }

    /** Sends the head of a response with chunked transfer coding. */
    public void startChunkedResponse(HttpHead response) {
        if (finished || started) {
            return;
        }
        started = true;
        keepAlive = shouldKeepAlive();
        connection.send(withConnectionField(response, keepAlive)
                .with("Transfer-Encoding", "chunked")
                .encode());
    }

    /** Sends a chunk of the response; empty content is ignored. */
    public void writeChunk(byte[] content) {
        if (finished || content.length == 0) {
            return;
        }
        ByteArrayOutputStream chunk = new ByteArrayOutputStream(content.length + 16);
        chunk.writeBytes((Integer.toHexString(content.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        chunk.writeBytes(content);
        chunk.writeBytes(LINE_END);
        connection.send(chunk.toByteArray());
    }

    /** Completes the response. */
    public void endChunkedResponse() {
        if (finished) {
            return;
        }
        finished = true;
        connection.send(LAST_CHUNK);
        // a client that was promised a further response may have sent the request already
        connection.finish(this, keepAlive);
    }

    /** Closes the connection without completing the response. */
    public void abort() {
        if (finished) {
            return;
        }
        finished = true;
        connection.close(DisconnectCause.RESPONSE_ABORTED);
    }

    void clientDisconnected(DisconnectCause cause) {
        if (!finished) {
            finished = true;
            disconnectAction.accept(cause);
        }
    }

    private boolean shouldKeepAlive() {
        // pipelined requests get answers of their own
        return (!connection.isDraining() || connection.hasFurtherRequest())
                && !head.fieldContains("connection", "close")
                && !head.third().equals("HTTP/1.0");
    }

    private static HttpHead withConnectionField(HttpHead response, boolean persistent) {
        HttpHead unframed = response.without(FRAMING_FIELDS);
        return persistent ? unframed : unframed.with("Connection", "close");
    }
}
