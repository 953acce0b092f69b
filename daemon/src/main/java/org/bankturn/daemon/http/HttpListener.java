package org.bankturn.daemon.http;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bankturn.time.Clock;

/**
 * Accepts connections and passes their requests to a handler, one at a time per connection.
 *
 * <p>HttpListener is confined to its reactor's thread.
 */
public final class HttpListener {
    private static final long SWEEP_INTERVAL_MILLIS = 500;

    private final NioReactor reactor;
    private final Clock clock;
    private final HttpHandler handler;
    private final Supplier<ServerLimits> limits;
    private final BufferBudget buffers;
    private final InterruptionListener interruptions;
    private final SimpleServer server;
    private final Set<ServerConnection> connections = new HashSet<>();
    private final SendQueueBudget<ServerConnection> sendQueues;
    private boolean sendQueueCheckPosted;
    private long writes;
    private boolean draining;
    private boolean refusingBodies;

    /**
     * Creates a listener; {@link #listen} starts it.
     *
     * @param reactor the reactor whose thread serves, not null
     * @param clock the clock for timeouts, not null
     * @param address the address to bind to, not null
     * @param limits supplies the current limits on clients, not null
     * @param handler handles the requests, not null
     */
    public static HttpListener create(
            NioReactor reactor,
            Clock clock,
            InetSocketAddress address,
            Supplier<ServerLimits> limits,
            HttpHandler handler) {
        return create(
                reactor,
                clock,
                address,
                limits,
                SendQueueLimits.NONE,
                BufferBudget.unlimited(),
                handler,
                InterruptionListener.NONE);
    }

    /**
     * Creates a listener that bounds queued output and reports interrupted requests and responses; {@link #listen}
     * starts it.
     *
     * @param reactor the reactor whose thread serves, not null
     * @param clock the clock for timeouts, not null
     * @param address the address to bind to, not null
     * @param limits supplies the current limits on clients, not null
     * @param sendQueueLimits the bounds on output that clients have not read, not null
     * @param buffers the memory for bodies of requests, not null
     * @param handler handles the requests, not null
     * @param interruptions is notified of what the handler does not learn, not null
     */
    public static HttpListener create(
            NioReactor reactor,
            Clock clock,
            InetSocketAddress address,
            Supplier<ServerLimits> limits,
            SendQueueLimits sendQueueLimits,
            BufferBudget buffers,
            HttpHandler handler,
            InterruptionListener interruptions) {
        return new HttpListener(reactor, clock, address, limits, sendQueueLimits, buffers, handler, interruptions);
    }

    private HttpListener(
            NioReactor reactor,
            Clock clock,
            InetSocketAddress address,
            Supplier<ServerLimits> limits,
            SendQueueLimits sendQueueLimits,
            BufferBudget buffers,
            HttpHandler handler,
            InterruptionListener interruptions) {
        this.reactor = reactor;
        this.clock = clock;
        this.limits = limits;
        this.sendQueues = new SendQueueBudget<>(sendQueueLimits);
        this.buffers = buffers;
        this.handler = handler;
        this.interruptions = interruptions;
        this.server = SimpleServer.builder(reactor, this::accept)
                .withListenAddress(address)
                .build();
    }

    /** Binds the address and starts accepting connections. */
    public void listen() throws IOException {
        server.listen();
        scheduleSweep();
    }

    /** Closes each connection after its next response; new connections are still accepted. */
    public void drain() {
        draining = true;
    }

    /** Rejects requests whose clients wait for a word before they send the body; no further requests are handled. */
    public void refuseBodies() {
        refusingBodies = true;
    }

    /** Rejects the requests that are not received completely, as not run. */
    public void rejectIncomplete() {
        Set.copyOf(connections).forEach(ServerConnection::rejectIfIncomplete);
    }

    /** Returns true if no connection is open. */
    public boolean isUnconnected() {
        return connections.isEmpty();
    }

    /** Closes idle connections. */
    public void closeIdle() {
        Set.copyOf(connections).forEach(ServerConnection::closeIfIdle);
    }

    /** Returns the number of connections with a request or response in progress. */
    public int activeRequests() {
        return (int) connections.stream().filter(ServerConnection::isBusy).count();
    }

    /** Stops listening and closes every connection. */
    public void close() {
        server.close();
        Set.copyOf(connections).forEach(connection -> connection.close(DisconnectCause.SHUTDOWN));
    }

    boolean isDraining() {
        return draining;
    }

    boolean isRefusingBodies() {
        return refusingBodies;
    }

    /** Returns the size of the output that clients have not read, in bytes; may be called on any thread. */
    public long queuedOutputBytes() {
        return sendQueues.queuedBytes();
    }

    /** Returns the number of the next write to any client; later writes have higher numbers. */
    long nextWriteNumber() {
        return writes++;
    }

    /** Records a change of a connection's queued output and schedules a check if a bound is exceeded. */
    void sendQueueChanged(ServerConnection connection, long change) {
        sendQueues.changed(connection, change);
        if (change > 0 && !sendQueueCheckPosted && sendQueues.isExceededBy(connection)) {
            sendQueueCheckPosted = true;
            // a connection is not closed while its exchange is writing to it
            reactor.post(this::closeSlowReaders);
        }
    }

    private void closeSlowReaders() {
        sendQueueCheckPosted = false;
        long now = clock.millis();
        Optional<ServerConnection> slow = sendQueues.connectionToClose(now);
        while (slow.isPresent()) {
            ServerConnection closing = slow.get();
            interruptions.readerTooSlow(
                    closing.queuedBytes(), sendQueues.queuedBytes(), now - closing.unreadSinceMillis());
            closing.close(DisconnectCause.SLOW_READER);
            slow = sendQueues.connectionToClose(now);
        }
    }

    void connectionClosed(ServerConnection connection) {
        connections.remove(connection);
    }

    private void accept(ITcpSocket socket) {
        ServerConnection connection =
                new ServerConnection(this, socket, clock, limits, buffers, handler, interruptions);
        connections.add(connection);
        connection.start();
    }

    private void scheduleSweep() {
        reactor.delayBackground(SWEEP_INTERVAL_MILLIS, () -> {
            long now = clock.millis();
            Set.copyOf(connections).forEach(connection -> connection.closeIfTimedOut(now));
            closeSlowReaders();
            scheduleSweep();
        });
    }
}
