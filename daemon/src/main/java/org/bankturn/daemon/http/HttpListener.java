package org.bankturn.daemon.http;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.bankturn.time.Clock;

/**
 * Accepts connections and hands their requests to a handler, one at a time for each connection.
 *
 * <p>HttpListener is confined to its reactor's thread.
 */
public final class HttpListener {
    private static final long SWEEP_INTERVAL_MILLIS = 500;

    private final NioReactor reactor;
    private final Clock clock;
    private final HttpHandler handler;
    private final Supplier<ServerLimits> limits;
    private final SimpleServer server;
    private final Set<ServerConnection> connections = new HashSet<>();
    private boolean draining;

    /**
     * Creates a listener that does not listen yet.
     *
     * @param reactor the reactor whose thread serves, not null
     * @param clock the time, not null
     * @param address where to listen, not null
     * @param limits what peers may send, asked for each request, not null
     * @param handler takes the requests, not null
     */
    public static HttpListener create(
            NioReactor reactor,
            Clock clock,
            InetSocketAddress address,
            Supplier<ServerLimits> limits,
            HttpHandler handler) {
        return new HttpListener(reactor, clock, address, limits, handler);
    }

    private HttpListener(
            NioReactor reactor,
            Clock clock,
            InetSocketAddress address,
            Supplier<ServerLimits> limits,
            HttpHandler handler) {
        this.reactor = reactor;
        this.clock = clock;
        this.limits = limits;
        this.handler = handler;
        this.server = SimpleServer.builder(reactor, this::accept)
                .withListenAddress(address)
                .build();
    }

    /** Begins to listen. */
    public void listen() throws IOException {
        server.listen();
        scheduleSweep();
    }

    /** Ends every connection with the answer to the request that it carries, if any; new ones are still taken. */
    public void drain() {
        draining = true;
    }

    /** Closes connections that carry no request. */
    public void closeIdle() {
        Set.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    /** Returns the number of requests under way. */
    public int activeRequests() {
        return (int) connections.stream().filter(ServerConnection::isBusy).count();
    }

    /** Stops listening and closes every connection. */
    public void close() {
        server.close();
        Set.copyOf(connections).forEach(ServerConnection::close);
    }

    boolean isDraining() {
        return draining;
    }

    void connectionClosed(ServerConnection connection) {
        connections.remove(connection);
    }

    private void accept(ITcpSocket socket) {
        ServerConnection connection = new ServerConnection(this, socket, clock, limits, handler);
        connections.add(connection);
        connection.start();
    }

    private void scheduleSweep() {
        reactor.delayBackground(SWEEP_INTERVAL_MILLIS, () -> {
            long now = clock.millis();
            Set.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(now));
            scheduleSweep();
        });
    }
}
