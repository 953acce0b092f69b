package org.bankturn.daemon.wire;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.bankturn.daemon.settings.Address;
import org.bankturn.time.Clock;

/**
 * Serves requests from other processes; each reply carries the correlation identifier of its request.
 *
 * <p>NodeServer is confined to its reactor's thread.
 */
public final class NodeServer {
    /** Clients do not reuse a connection that has been idle for 5 s, so one that is silent for longer is dead. */
    private static final long MAX_SILENT_MILLIS = 30_000;

    private static final long SWEEP_INTERVAL_MILLIS = 5_000;

    /** The size of the replies that may wait on one connection when a large one is added: several pieces of weights. */
    private static final long MAX_UNSENT_BYTES = Runtime.getRuntime().maxMemory() / 8;

    /** The bound of all connections together, as a multiple of that of one. */
    private static final int CONNECTIONS_WITH_MAX_UNSENT = 2;

    private final NioReactor reactor;
    private final Clock clock;
    private final SimpleServer server;
    private final Function<NodeRequest, Promise<NodeReply>> handler;
    private final Set<FrameChannel> channels = new HashSet<>();
    private final ConnectionObserver observer;
    private final Limits limits;

    /**
     * What connections may cost.
     *
     * @param maxUnsentBytes the size of the replies that may wait on one connection when a large one is added
     * @param receiveBudget bounds the memory of the requests that are being received, not null
     */
    record Limits(long maxUnsentBytes, ReceiveBudget receiveBudget) {}

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param reactor the reactor on whose thread the server runs, not null
     * @param address the address to bind to, not null
     * @param handler handles a request, not null
     * @return the server, not null
     */
    public static NodeServer create(
            NioReactor reactor, Address address, Function<NodeRequest, Promise<NodeReply>> handler) {
        return create(reactor, Clock.system(), address, handler, ConnectionObserver.NONE);
    }

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param reactor the reactor on whose thread the server runs, not null
     * @param clock the clock for connection ages, not null
     * @param address the address to bind to, not null
     * @param handler handles a request, not null
     * @param observer notified of replies that are dropped, not null
     * @return the server, not null
     */
    public static NodeServer create(
            NioReactor reactor,
            Clock clock,
            Address address,
            Function<NodeRequest, Promise<NodeReply>> handler,
            ConnectionObserver observer) {
        return create(reactor, clock, address, handler, observer, new Limits(MAX_UNSENT_BYTES, ReceiveBudget.shared()));
    }

    static NodeServer create(
            NioReactor reactor,
            Clock clock,
            Address address,
            Function<NodeRequest, Promise<NodeReply>> handler,
            ConnectionObserver observer,
            Limits limits) {
        return new NodeServer(reactor, clock, address, handler, observer, limits);
    }

    private NodeServer(
            NioReactor reactor,
            Clock clock,
            Address address,
            Function<NodeRequest, Promise<NodeReply>> handler,
            ConnectionObserver observer,
            Limits limits) {
        this.reactor = reactor;
        this.clock = clock;
        this.handler = handler;
        this.observer = observer;
        this.limits = limits;
        this.server = SimpleServer.builder(reactor, this::serve)
                .withListenAddress(address.toSocketAddress())
                .build();
    }

    /**
     * Binds the address and starts accepting connections. The exclusive port keeps a second process for the same box from
     * starting.
     *
     * @throws IOException if the port is in use
     */
    public void listen() throws IOException {
        server.listen();
        scheduleSweep();
    }

    /** Stops listening and closes every connection. */
    public void close() {
        server.close();
        for (FrameChannel channel : Set.copyOf(channels)) {
            channel.close(new IOException("stopping"));
        }
    }

    /** Periodically closes connections whose peers vanished without closing them, since file descriptors are limited. */
    private void scheduleSweep() {
        reactor.delayBackground(SWEEP_INTERVAL_MILLIS, () -> {
            long oldest = clock.millis() - MAX_SILENT_MILLIS;
            List<FrameChannel> silent = channels.stream()
                    .filter(channel -> channel.lastProgressMillis() < oldest)
                    .toList();
            silent.forEach(channel -> channel.close(new IOException("silent for " + MAX_SILENT_MILLIS + " ms")));
            scheduleSweep();
        });
    }

    private void serve(ITcpSocket socket) {
        FrameChannel[] accepted = new FrameChannel[1];
        accepted[0] = new FrameChannel(
                reactor,
                socket,
                limits.receiveBudget(),
                clock,
                (frame, large) -> respond(accepted[0], socket, frame),
                reason -> channels.remove(accepted[0]));
        channels.add(accepted[0]);
        accepted[0].start();
    }

    private void respond(FrameChannel channel, ITcpSocket socket, Frame frame) {
        if (frame.request() == null) {
            return;
        }
        handle(frame.request()).whenComplete((reply, failure) -> {
            NodeReply response = failure == null ? reply : new NodeReply.Failed(String.valueOf(failure.getMessage()));
            if (!channel.isClosed()) {
                send(channel, socket, frame.correlation(), response);
            }
        });
    }

    /** Sends a reply, or a failure in place of a large one if the client does not read what it asked for before. */
    private void send(FrameChannel channel, ITcpSocket socket, long correlation, NodeReply reply) {
        OutgoingFrame encoded = OutgoingFrame.encode(new Frame(correlation, null, reply));
        boolean dropped = encoded.isLarge() && isFull(channel);
        if (dropped) {
            observer.onMessageDropped(peerOf(socket), true, encoded.bytes(), channel.unsentBytes());
            NodeReply failure = new NodeReply.Failed("too much waits to be sent");
            channel.send(OutgoingFrame.encode(new Frame(correlation, null, failure)));
        } else if (channel.unsentBytes() >= CONNECTIONS_WITH_MAX_UNSENT * limits.maxUnsentBytes()) {
            observer.onMessageDropped(peerOf(socket), true, encoded.bytes(), channel.unsentBytes());
            channel.close(new IOException("replies are not read: " + channel.unsentBytes() + " bytes"));
        } else {
            channel.send(encoded);
        }
    }

    private boolean isFull(FrameChannel channel) {
        long total = channels.stream().mapToLong(FrameChannel::unsentBytes).sum();
        return channel.unsentBytes() >= limits.maxUnsentBytes()
                || total >= CONNECTIONS_WITH_MAX_UNSENT * limits.maxUnsentBytes();
    }

    private static String peerOf(ITcpSocket socket) {
        return socket instanceof TcpSocket tcp ? String.valueOf(tcp.getRemoteAddress()) : "";
    }

    private Promise<NodeReply> handle(NodeRequest request) {
        try {
            return handler.apply(request);
        } catch (RuntimeException e) {
            return Promise.ofException(e);
        }
    }
}
