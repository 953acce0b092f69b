package org.bankturn.daemon.http;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.ConnectionObserver;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.time.Clock;

/**
 * An HTTP client that buffers complete responses and keeps idle connections for reuse.
 *
 * <p>PooledHttpClient is confined to its reactor's thread.
 */
public final class PooledHttpClient {
    private static final String HOST = "Host";

    /** Exceeds the size of manifests and pieces of weights, which a process holds several of at a time. */
    private static final long MAX_RESPONSE_BYTES = Runtime.getRuntime().maxMemory() / 16;

    /** Connections are kept briefly, since a callee may accept few and counts those that it lost as well. */
    private static final long MAX_IDLE_MILLIS = 1_000;

    /**
     * How long a reused connection may stay silent before an idempotent call is retried on a new one; a call to a process on
     * the same box takes 1 to 20 ms.
     */
    private static final long SILENCE_TIMEOUT_MILLIS = 250;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final NioReactor reactor;
    private final Clock clock;
    private final ConnectionObserver observer;
    private final ConnectionReusePolicy reusePolicy;
    private final Map<InetSocketAddress, Deque<TargetConnection>> idleConnections = new HashMap<>();

    /**
     * A complete response.
     *
     * @param head the status line and header fields, not null
     * @param body the decoded body, not null
     */
    public record Response(HttpHead head, byte[] body) {
        /** Returns true if the status is 2xx. */
        public boolean isSuccess() {
            return head.status() / 100 == 2;
        }
    }

    /** Returns a client that runs on the reactor's thread, not null. */
    public static PooledHttpClient on(NioReactor reactor, Clock clock) {
        return on(reactor, clock, ConnectionObserver.NONE);
    }

    /**
     * Returns a client that runs on the reactor's thread, not null.
     *
     * @param reactor the reactor, not null
     * @param clock the clock for timeouts and connection ages, not null
     * @param observer notified of connections closed for silence, not null
     */
    public static PooledHttpClient on(NioReactor reactor, Clock clock, ConnectionObserver observer) {
        return new PooledHttpClient(reactor, clock, observer);
    }

    private PooledHttpClient(NioReactor reactor, Clock clock, ConnectionObserver observer) {
        this.reactor = reactor;
        this.clock = clock;
        this.observer = observer;
        this.reusePolicy = ConnectionReusePolicy.of(clock, MAX_IDLE_MILLIS);
    }

    /**
     * Sends a request.
     *
     * @param address the server's address, not null
     * @param head the request's head without framing fields, not null
     * @param body the request's body, not null
     * @param timeoutMillis the timeout for the complete response
     * @return the response; fails if it is not complete in time
     */
    public Promise<Response> call(InetSocketAddress address, HttpHead head, byte[] body, long timeoutMillis) {
        return call(address, head, body, timeoutMillis, timeoutMillis);
    }

    /**
     * Sends a request.
     *
     * @param address the server's address, not null
     * @param head the request's head without framing fields, not null
     * @param body the request's body, not null
     * @param connectMillis the timeout for connecting
     * @param timeoutMillis the timeout for the complete response
     * @return the response; fails if it is not complete in time
     */
    public Promise<Response> call(
            InetSocketAddress address, HttpHead head, byte[] body, long connectMillis, long timeoutMillis) {
        Call call = new Call(address, encode(address, head, body), MAX_RESPONSE_BYTES);
        call.cancelAtEnd(reactor.delayBackground(timeoutMillis, call::timeOut));
        call.start(takeIdle(address), connectMillis);
        return call.result;
    }

    /**
     * Sends an idempotent request without a body, retried once on a new connection if a reused one stays silent.
     *
     * @param address the server's address, not null
     * @param head the request's head without framing fields, not null
     * @param timeoutMillis the timeout for the complete response
     * @return the response; fails if it is not complete in time
     */
    public Promise<Response> callIdempotent(InetSocketAddress address, HttpHead head, long timeoutMillis) {
        return callIdempotent(address, head, timeoutMillis, MAX_RESPONSE_BYTES);
    }

    /**
     * Sends an idempotent request without a body, retried once on a new connection if a reused one stays silent.
     *
     * @param address the server's address, not null
     * @param head the request's head without framing fields, not null
     * @param timeoutMillis the timeout for the complete response
     * @param maxResponseBytes the size, with heads and framing, above which a response is given up
     * @return the response; fails if it is not complete in time
     */
    public Promise<Response> callIdempotent(
            InetSocketAddress address, HttpHead head, long timeoutMillis, long maxResponseBytes) {
        Call call = new Call(address, encode(address, head, EMPTY_BODY), maxResponseBytes);
        call.cancelAtEnd(reactor.delayBackground(timeoutMillis, call::timeOut));
        TargetConnection idle = takeIdle(address);
        call.start(idle, timeoutMillis);
        if (idle != null) {
            call.cancelAtEnd(reactor.delayBackground(SILENCE_TIMEOUT_MILLIS, () -> call.retryIfSilent(timeoutMillis)));
        }
        return call.result;
    }

    private static byte[] encode(InetSocketAddress address, HttpHead head, byte[] body) {
        HttpHead named = head.field(HOST).isPresent()
                ? head
                : head.with(HOST, address.getHostString() + ":" + address.getPort());
        HttpHead framed = named.with("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 256);
        bytes.writeBytes(framed.encode());
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Keeps a connection for reuse, but only briefly, since the server may limit its number of connections. */
    private void keepIdle(InetSocketAddress address, TargetConnection connection) {
        Deque<TargetConnection> idle = idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        idle.add(connection);
        long responses = connection.responseCount();
        // compares counts, not times: the timer may fire slightly before the clock reaches the deadline
        reactor.delayBackground(MAX_IDLE_MILLIS, () -> {
            boolean unused = connection.responseCount() == responses;
            if (unused && idle.remove(connection)) {
                connection.close();
            }
        });
    }

    private TargetConnection takeIdle(InetSocketAddress address) {
        Deque<TargetConnection> idle = idleConnections.getOrDefault(address, new ArrayDeque<>());
        while (!idle.isEmpty()) {
            TargetConnection connection = idle.pollLast();
            if (connection.isUsable() && reusePolicy.isReusable(connection.lastReadMillis())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private final class Call implements ResponseListener {
        private final InetSocketAddress address;
        private final byte[] request;
        private final long maxResponseBytes;
        private final SettablePromise<Response> result = new SettablePromise<>();
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private TargetConnection connection;
        private HttpHead responseHead;
        private long sentMillis;

        Call(InetSocketAddress address, byte[] request, long maxResponseBytes) {
            this.address = address;
            this.request = request;
            this.maxResponseBytes = maxResponseBytes;
        }

        /** Cancels a timer at the end of the call, whose messages it would hold until it is due. */
        void cancelAtEnd(ScheduledRunnable timer) {
            result.whenComplete(timer::cancel);
        }

        /** Sends the request on the given idle connection, or on a new one if it is null. */
        void start(TargetConnection idle, long connectMillis) {
            Promise<TargetConnection> connected =
                    idle != null ? Promise.of(idle) : TargetConnection.connect(reactor, clock, address, connectMillis);
            connected.whenComplete(this::connected);
        }

        private void connected(TargetConnection opened, Exception failure) {
            if (failure != null) {
                result.trySetException(failure);
                return;
            }
            if (result.isComplete()) {
                opened.close();
                return;
            }
            connection = opened;
            sentMillis = clock.millis();
            opened.send(request, false, this);
        }

        void retryIfSilent(long connectMillis) {
            if (result.isComplete() || responseHead != null) {
                return;
            }
            observer.onSilentConnection(
                    new Address(address.getHostString(), address.getPort()),
                    clock.millis() - connection.lastReadMillis(),
                    true);
            reusePolicy.timedOut(sentMillis);
            connection.close();
            start(null, connectMillis);
        }

        void timeOut() {
            if (result.trySetException(new IOException("no complete response in time from " + address))
                    && connection != null) {
                connection.close();
            }
        }

        @Override
        public long maxResponseBytes() {
            return maxResponseBytes;
        }

        @Override
        public boolean onHead(HttpHead head) {
            responseHead = head;
            return true;
        }

        @Override
        public void onBodyPart(byte[] bytes) {
            content.writeBytes(bytes);
        }

        @Override
        public void onComplete() {
            if (connection.isUsable()) {
                keepIdle(address, connection);
            }
            result.trySet(new Response(responseHead, content.toByteArray()));
        }

        @Override
        public void onFailure(TransportFailure failure) {
            result.trySetException(new IOException(failure + " at " + address));
        }
    }
}
