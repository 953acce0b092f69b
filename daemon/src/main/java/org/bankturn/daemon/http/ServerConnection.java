package org.bankturn.daemon.http;

import io.activej.bytebuf.ByteBuf;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.promise.Promise;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.bankturn.time.Clock;

/**
 * The server side of a connection: reads a complete request, waits for its response, then reads the next request.
 *
 * <p>ServerConnection is confined to one thread.
 */
final class ServerConnection implements SendQueueBudget.Holder {
    private static final long MIN_IDLE_MILLIS = 300;
    private static final byte[] CONTINUE = "HTTP/1.1 100 Continue\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    private static final int MAX_PIPELINED_BYTES = 64 << 10;

    /** How long input is read and discarded after the last response of a connection. */
    private static final long MAX_DISCARD_MILLIS = 1_000;

    /** Sent with a request that there is no memory for; bodies of others are passed on within this time. */
    private static final HttpField RETRY_AFTER = new HttpField("Retry-After", "0.5");

    /** Sent with a request that another process can serve at once. */
    private static final HttpField RETRY_ELSEWHERE = new HttpField("Retry-After", "0.3");

    /** The maximum size of a write; each one has the idle timeout to complete. */
    private static final int MAX_WRITE_BYTES = 64 << 10;

    private final HttpListener listener;
    private final ITcpSocket socket;
    private final Clock clock;
    private final Supplier<ServerLimits> limits;
    private final BufferBudget.Reservation bodyMemory;
    private final HttpHandler handler;
    private final InterruptionListener interruptions;
    private final ByteQueue received = new ByteQueue();
    private final Deque<ByteBuf> sendQueue = new ArrayDeque<>();
    private HttpHead head;
    private BodyDecoder body;
    private ByteArrayOutputStream bodyBytes;
    private ServerExchange exchange;
    private HttpHead answeredHead;
    private int writeLength;

    /** The size of the output that is not written completely. */
    private long queuedBytes;

    private long idleSinceMillis;
    private long requestStartMillis;

    /** Since when input is discarded, because no further request will be answered; 0 if it is not. */
    private long discardingSinceMillis;

    /** The start of the current write, which follows the last progress of the client at once. */
    private long writeStartMillis;

    private long writeNumber;
    private boolean reading;
    private boolean sending;
    private boolean closeWhenSent;
    private boolean closed;

    ServerConnection(
            HttpListener listener,
            ITcpSocket socket,
            Clock clock,
            Supplier<ServerLimits> limits,
            BufferBudget buffers,
            HttpHandler handler,
            InterruptionListener interruptions) {
        this.listener = listener;
        this.socket = socket;
        this.clock = clock;
        this.limits = limits;
        this.bodyMemory = buffers.newReservation(BufferKind.REQUEST);
        this.handler = handler;
        this.interruptions = interruptions;
        this.idleSinceMillis = clock.millis();
    }

    void start() {
        readMore();
    }

    boolean isBusy() {
        return exchange != null || head != null || received.size() > 0 || sending;
    }

    boolean isDraining() {
        return listener.isDraining();
    }

    /** Returns true if a part of a further request was received. */
    boolean hasFurtherRequest() {
        return received.size() > 0;
    }

    /** Rejects the request that is being received, as not run, because there is no time left to receive it. */
    void rejectIfIncomplete() {
        boolean incomplete = exchange == null && (head != null || received.size() > 0);
        if (incomplete && !closed && !closeWhenSent) {
            rejectForShutdown();
        }
    }

    private void rejectForShutdown() {
        if (head != null) {
            interruptions.requestIncomplete(head, bodyBytes == null ? 0 : bodyBytes.size(), DisconnectCause.SHUTDOWN);
        }
        respondAndDiscard(503, RETRY_ELSEWHERE);
    }

    /** Closes the connection if it has been idle long enough that no request is likely to be in transit. */
    void closeIfIdle() {
        boolean idle = clock.millis() - idleSinceMillis >= MIN_IDLE_MILLIS;
        if (idle && !isBusy() && discardingSinceMillis == 0) {
            close(DisconnectCause.IDLE);
        }
    }

    void closeIfTimedOut(long now) {
        // the client may still be reading the last response
        long lastSentMillis = Math.max(discardingSinceMillis, writeStartMillis);
        if (discardingSinceMillis > 0 && !sending && now - lastSentMillis > MAX_DISCARD_MILLIS) {
            close(DisconnectCause.IDLE);
            return;
        }
        // a client that stops reading would otherwise hold the buffered response and block shutdown indefinitely
        if (sending && now - writeStartMillis > limits.get().idleTimeoutMillis()) {
            close(DisconnectCause.WRITE_TIMEOUT);
            return;
        }
        boolean awaitingRequest = exchange == null && !sending;
        boolean requestStarted = head != null || received.size() > 0;
        long timeoutMillis = requestStarted
                ? 4 * limits.get().headTimeoutMillis()
                : limits.get().idleTimeoutMillis();
        if (awaitingRequest && now - (requestStarted ? requestStartMillis : idleSinceMillis) > timeoutMillis) {
            close(requestStarted ? DisconnectCause.REQUEST_TIMEOUT : DisconnectCause.IDLE);
        }
    }

    void close(DisconnectCause cause) {
        if (closed) {
            return;
        }
        closed = true;
        socket.closeEx(new IOException("connection closed locally"));
        long unsentBytes = queuedBytes;
        sendQueue.forEach(ByteBuf::recycle);
        sendQueue.clear();
        queueChanged(-unsentBytes);
        bodyMemory.release();
        notifyClosed(cause, unsentBytes);
    }

    private void notifyClosed(DisconnectCause cause, long unsentBytes) {
        listener.connectionClosed(this);
        ServerExchange interrupted = exchange;
        exchange = null;
        if (interrupted != null && !interrupted.isFinished()) {
            interrupted.clientDisconnected(cause);
            return;
        }
        if (head != null) {
            interruptions.requestIncomplete(head, bodyBytes.size(), cause);
            return;
        }
        // a write that fails at once ends the connection before the exchange has been finished
        HttpHead answered = interrupted != null ? interrupted.head() : answeredHead;
        if (answered != null && unsentBytes > 0 && cause != DisconnectCause.RESPONSE_ABORTED) {
            interruptions.responseUndelivered(answered, unsentBytes, cause);
        }
    }

    @Override
    public long queuedBytes() {
        return queuedBytes;
    }

    @Override
    public long unreadSinceMillis() {
        return writeStartMillis;
    }

    @Override
    public long writeNumber() {
        return writeNumber;
    }

    private void queueChanged(long change) {
        queuedBytes += change;
        listener.sendQueueChanged(this, change);
    }

    private void readMore() {
        // nothing takes what has been received while a request is handled, or once no further one is
        boolean parsed = exchange == null && !closeWhenSent;
        if (reading || closed || (received.size() > MAX_PIPELINED_BYTES && !parsed)) {
            return;
        }
        reading = true;
        socket.read().whenComplete((bytes, failure) -> {
            reading = false;
            if (closed) {
                if (bytes != null) {
                    bytes.recycle();
                }
                return;
            }
            if (failure != null || bytes == null) {
                close(failure != null ? DisconnectCause.CONNECTION_FAILED : DisconnectCause.CLOSED_BY_CLIENT);
                return;
            }
            if (received.size() == 0 && head == null) {
                requestStartMillis = clock.millis();
            }
            received.add(bytes);
            parseRequest();
            readMore();
        });
    }

    private void parseRequest() {
        if (discardingSinceMillis > 0) {
            received.skip(received.size());
        }
        if (exchange != null || closed || closeWhenSent) {
            return;
        }
        try {
            if (head == null && !parseHead()) {
                return;
            }
            byte[] part = body.decode(received);
            if (bodyBytes.size() + part.length > limits.get().maxBodyBytes()) {
                reject(413);
                return;
            }
            if (!mayBuffer(bodyBytes.size() + part.length)) {
                return;
            }
            bodyBytes.writeBytes(part);
            if (body.isDone()) {
                dispatch();
            }
        } catch (HttpFormatException e) {
            reject(400);
        }
    }

    private boolean parseHead() throws HttpFormatException {
        head = HttpHeadParser.parseRequest(received, limits.get().maxHeadBytes());
        if (head == null) {
            return false;
        }
        body = BodyDecoder.ofRequest(head);
        if (body.remainingLength() > limits.get().maxBodyBytes()) {
            reject(413);
            return false;
        }
        if (!mayBuffer(body.remainingLength())) {
            return false;
        }
        bodyBytes = new ByteArrayOutputStream((int) Math.max(32, body.remainingLength()));
        if (head.fieldContains("expect", "100-continue")) {
            if (listener.isRefusingBodies()) {
                rejectForShutdown();
                return false;
            }
            send(CONTINUE);
        }
        return true;
    }

    /** Rejects the request, which has not run, and returns false if there is no memory for a body of the given size. */
    private boolean mayBuffer(long size) {
        BufferBound exceeded = bodyMemory.growTo(size);
        if (exceeded == null) {
            return true;
        }
        interruptions.requestTooLarge(head, size, exceeded);
        reject(503, RETRY_AFTER);
        return false;
    }

    private void dispatch() {
        HttpHead requestHead = head;
        byte[] content = bodyBytes.toByteArray();
        head = null;
        body = null;
        bodyBytes = null;
        exchange = new ServerExchange(this, requestHead, content, clock.millis());
        handler.handle(exchange);
    }

    private void reject(int status, HttpField... further) {
        interruptions.requestRejected(head, bodyBytes == null ? 0 : bodyBytes.size(), status);
        respondAndDiscard(status, further);
    }

    private void respondAndDiscard(int status, HttpField... further) {
        head = null;
        bodyBytes = null;
        bodyMemory.release();
        received.skip(received.size());
        closeWhenSent = true;
        discardingSinceMillis = clock.millis();
        List<HttpField> fields = new ArrayList<>(List.of(further));
        fields.add(new HttpField("Content-Length", "0"));
        fields.add(new HttpField("Connection", "close"));
        send(HttpHead.response(status, fields).encode());
    }

    void send(byte[] bytes) {
        if (closed) {
            return;
        }
        if (!sending) {
            writeStarts();
        }
        queueChanged(bytes.length);
        for (int start = 0; start < bytes.length; start += MAX_WRITE_BYTES) {
            sendQueue.add(ByteBuf.wrap(bytes, start, Math.min(bytes.length, start + MAX_WRITE_BYTES)));
        }
        flush();
    }

    /** Ends the exchange; unless {@code keepAlive}, the connection closes once all output is sent. */
    void finish(ServerExchange finished, boolean keepAlive) {
        if (exchange != finished) {
            return;
        }
        exchange = null;
        bodyMemory.release();
        answeredHead = finished.head();
        idleSinceMillis = clock.millis();
        requestStartMillis = idleSinceMillis;
        closeWhenSent = !keepAlive;
        if (closeWhenSent && listener.isDraining()) {
            // clients that have not seen the end of the connection yet may still send
            discardingSinceMillis = idleSinceMillis;
            received.skip(received.size());
            readMore();
        }
        flush();
        if (keepAlive && !closed) {
            parseRequest();
            readMore();
        }
    }

    private void flush() {
        if (sending || closed) {
            return;
        }
        if (sendQueue.isEmpty()) {
            if (closeWhenSent && discardingSinceMillis > 0) {
                // closing with unread input would reset the connection, and the client might not receive the response
                Promise<Void> unused = socket.write(null);
            } else if (closeWhenSent) {
                socket.close();
                closed = true;
                notifyClosed(DisconnectCause.IDLE, 0);
            }
            return;
        }
        sending = true;
        Promise<Void> write = writeNext();
        // writes that complete at once are not nested, as there may be many of them
        while (write.isResult() && !sendQueue.isEmpty()) {
            write = writeNext();
        }
        write.whenComplete((ignored, failure) -> {
            if (failure != null) {
                close(DisconnectCause.CONNECTION_FAILED);
                return;
            }
            if (closed) {
                return;
            }
            sending = false;
            writeCompleted();
            flush();
        });
    }

    /** Records the progress of the client, before the change of the queue is visible. */
    private void writeStarts() {
        writeStartMillis = clock.millis();
        writeNumber = listener.nextWriteNumber();
    }

    /** Releases the previous write, if there is one. */
    private void writeCompleted() {
        writeStarts();
        queueChanged(-writeLength);
        writeLength = 0;
    }

    private Promise<Void> writeNext() {
        writeCompleted();
        ByteBuf next = sendQueue.poll();
        writeLength = next.readRemaining();
        return socket.write(next);
    }
}
