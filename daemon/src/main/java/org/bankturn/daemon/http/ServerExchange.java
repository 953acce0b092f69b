package org.bankturn.daemon.http;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Set;

/**
 * A request and the way back to its caller.
 *
 * <p>Answer with {@link #respond}, or with {@link #startChunkedResponse}, {@link #writeChunk} and {@link #endChunkedResponse}. {@link #abort} closes
 * the connection so that what was sent cannot look whole. ServerExchange is confined to its reactor's thread.
 */
public final class ServerExchange {
    private static final Set<String> FRAMING_FIELDS = Set.of("content-length", "transfer-encoding", "connection");
    private static final byte[] LAST_CHUNK = "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final byte[] LINE_END = {'\r', '\n'};

    private final ServerConnection connection;
    private final HttpHead head;
    private final byte[] body;
    private final long receivedMillis;
    private Runnable disconnectAction = () -> {};
    private boolean started;
    private boolean keepAlive;
    private boolean finished;

    ServerExchange(ServerConnection connection, HttpHead head, byte[] body, long receivedMillis) {
        this.connection = connection;
        this.head = head;
        this.body = body;
        this.receivedMillis = receivedMillis;
    }

    /** Returns the request's head, not null. */
    public HttpHead head() {
        return head;
    }

    /** Returns the request's body, not null. */
    public byte[] body() {
        return body;
    }

    /** Returns when the request had come whole. */
    public long receivedMillis() {
        return receivedMillis;
    }

    /** Returns true if a part of the answer was sent. */
    public boolean hasStartedResponse() {
        return started;
    }

    /** Returns true if the answer was sent whole, was aborted, or the caller left. */
    public boolean isFinished() {
        return finished;
    }

    /** Sets what happens when the caller leaves before its answer is whole. */
    public void onClientDisconnect(Runnable action) {
        disconnectAction = action;
    }

    /** Sends a whole answer; fields of framing are set here. */
    public void respond(HttpHead answer, byte[] content) {
        if (finished || started) {
            return;
        }
        started = true;
        finished = true;
        boolean keeps = shouldKeepAlive();
        HttpHead framed = withConnectionField(answer, keeps).with("Content-Length", Integer.toString(content.length));
        boolean bodiless = head.first().equals("HEAD");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(content.length + 256);
        bytes.writeBytes(framed.encode());
        if (!bodiless) {
            bytes.writeBytes(content);
        }
        connection.send(bytes.toByteArray());
        connection.finish(this, keeps);
    }

    /** Sends the head of an answer whose end is not known yet. */
    public void startChunkedResponse(HttpHead answer) {
        if (finished || started) {
            return;
        }
        started = true;
        keepAlive = shouldKeepAlive();
        connection.send(withConnectionField(answer, keepAlive)
                .with("Transfer-Encoding", "chunked")
                .encode());
    }

    /** Sends a part of the answer. */
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

    /** Ends the answer as whole. */
    public void endChunkedResponse() {
        if (finished) {
            return;
        }
        finished = true;
        connection.send(LAST_CHUNK);
        connection.finish(this, keepAlive && !connection.isDraining());
    }

    /** Closes the connection, so that the answer cannot look whole. */
    public void abort() {
        if (finished) {
            return;
        }
        finished = true;
        connection.close();
    }

    void clientDisconnected() {
        if (!finished) {
            finished = true;
            disconnectAction.run();
        }
    }

    private boolean shouldKeepAlive() {
        return !connection.isDraining()
                && !head.fieldContains("connection", "close")
                && !head.third().equals("HTTP/1.0");
    }

    private static HttpHead withConnectionField(HttpHead answer, boolean keeps) {
        HttpHead plain = answer.without(FRAMING_FIELDS);
        return keeps ? plain : plain.with("Connection", "close");
    }
}
