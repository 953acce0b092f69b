package org.bankturn.daemon.http;

import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
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
 * Makes single calls whose answers are taken whole; connections are kept for the next call.
 *
 * <p>HttpCalls is confined to its reactor's thread.
 */
public final class PooledHttpClient {
    private static final long MAX_IDLE_MILLIS = 1_000;

    /** A question to a process on the same box takes 1 to 20 ms; one that is asked twice does no harm. */
    private static final long SILENCE_TIMEOUT_MILLIS = 250;

    private static final byte[] EMPTY_BODY = new byte[0];

    private final NioReactor reactor;
    private final Clock clock;
    private final ConnectionObserver observer;
    private final ConnectionReusePolicy reusePolicy;
    private final Map<InetSocketAddress, Deque<TargetConnection>> idleConnections = new HashMap<>();

    /**
     * A whole answer.
     *
     * @param head its head, not null
     * @param body its body, not null
     */
    public record Response(HttpHead head, byte[] body) {
        /** Returns true if the status says success. */
        public boolean isSuccess() {
            return head.status() / 100 == 2;
        }
    }

    /** Returns a caller on the reactor's thread, not null. */
    public static PooledHttpClient on(NioReactor reactor, Clock clock) {
        return on(reactor, clock, ConnectionObserver.NONE);
    }

    /**
     * Returns a caller on the reactor's thread, not null.
     *
     * @param reactor the reactor, not null
     * @param clock the time, not null
     * @param observer hears of connections that went silent, not null
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
     * Makes a call.
     *
     * @param address where to, not null
     * @param head the request's head without framing, not null
     * @param body its body, not null
     * @param timeoutMillis how long to wait for the whole answer
     * @return the answer; fails if there is no whole one in time
     */
    public Promise<Response> call(InetSocketAddress address, HttpHead head, byte[] body, long timeoutMillis) {
        return call(address, head, body, timeoutMillis, timeoutMillis);
    }

    /**
     * Makes a call.
     *
     * @param address where to, not null
     * @param head the request's head without framing, not null
     * @param body its body, not null
     * @param connectMillis how long to wait for a connection
     * @param timeoutMillis how long to wait for the whole answer
     * @return the answer; fails if there is no whole one in time
     */
    public Promise<Response> call(
            InetSocketAddress address, HttpHead head, byte[] body, long connectMillis, long timeoutMillis) {
        Call call = new Call(address, encode(head, body));
        reactor.delayBackground(timeoutMillis, call::timeOut);
        call.start(takeIdle(address), connectMillis);
        return call.result;
    }

    /**
     * Asks something that has no effect, so that it may be asked again on a new connection when a kept one is silent.
     *
     * @param address where to, not null
     * @param head the request's head without framing, not null
     * @param timeoutMillis how long to wait for the whole answer
     * @return the answer; fails if there is no whole one in time
     */
    public Promise<Response> callIdempotent(InetSocketAddress address, HttpHead head, long timeoutMillis) {
        Call call = new Call(address, encode(head, EMPTY_BODY));
        reactor.delayBackground(timeoutMillis, call::timeOut);
        TargetConnection rested = takeIdle(address);
        call.start(rested, timeoutMillis);
        if (rested != null) {
            // without it an engine's load is not known until the call's time is over
            reactor.delayBackground(SILENCE_TIMEOUT_MILLIS, () -> call.retryIfSilent(timeoutMillis));
        }
        return call.result;
    }

    private static byte[] encode(HttpHead head, byte[] body) {
        HttpHead framed = head.with("Content-Length", Integer.toString(body.length));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(body.length + 256);
        bytes.writeBytes(framed.encode());
        bytes.writeBytes(body);
        return bytes.toByteArray();
    }

    /** Keeps a connection for the next call, but not for long: a callee may take few, and counts those it lost as well. */
    private void keepIdle(InetSocketAddress address, TargetConnection connection) {
        Deque<TargetConnection> kept = idleConnections.computeIfAbsent(address, key -> new ArrayDeque<>());
        kept.add(connection);
        long calls = connection.responseCount();
        // the timer may fire a millisecond early by the clock, and the connection would then stay open for good
        reactor.delayBackground(MAX_IDLE_MILLIS, () -> {
            boolean unused = connection.responseCount() == calls;
            if (unused && kept.remove(connection)) {
                connection.close();
            }
        });
    }

    private TargetConnection takeIdle(InetSocketAddress address) {
        Deque<TargetConnection> kept = idleConnections.getOrDefault(address, new ArrayDeque<>());
        while (!kept.isEmpty()) {
            TargetConnection connection = kept.pollLast();
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
        private final SettablePromise<Response> result = new SettablePromise<>();
        private final ByteArrayOutputStream content = new ByteArrayOutputStream();
        private TargetConnection connection;
        private HttpHead responseHead;
        private long sentMillis;

        Call(InetSocketAddress address, byte[] request) {
            this.address = address;
            this.request = request;
        }

        /** Sends the request on a connection that rested, or on a new one if that is null. */
        void start(TargetConnection rested, long connectMillis) {
            Promise<TargetConnection> connected = rested != null
                    ? Promise.of(rested)
                    : TargetConnection.connect(reactor, clock, address, connectMillis);
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
            if (result.trySetException(new IOException("no answer in time from " + address)) && connection != null) {
                connection.close();
            }
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
