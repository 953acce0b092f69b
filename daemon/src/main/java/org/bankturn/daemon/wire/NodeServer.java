package org.bankturn.daemon.wire;

import io.activej.net.SimpleServer;
import io.activej.net.socket.tcp.ITcpSocket;
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

    private final NioReactor reactor;
    private final Clock clock;
    private final SimpleServer server;
    private final Function<NodeRequest, Promise<NodeReply>> handler;
    private final Set<FrameChannel> channels = new HashSet<>();

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
        return create(reactor, Clock.system(), address, handler);
    }

    /**
     * Creates a server; {@link #listen} starts it.
     *
     * @param reactor the reactor on whose thread the server runs, not null
     * @param clock the clock for connection ages, not null
     * @param address the address to bind to, not null
     * @param handler handles a request, not null
     * @return the server, not null
     */
    public static NodeServer create(
            NioReactor reactor, Clock clock, Address address, Function<NodeRequest, Promise<NodeReply>> handler) {
        return new NodeServer(reactor, clock, address, handler);
    }

    private NodeServer(
            NioReactor reactor, Clock clock, Address address, Function<NodeRequest, Promise<NodeReply>> handler) {
        this.reactor = reactor;
        this.clock = clock;
        this.handler = handler;
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
                socket, clock, (frame, large) -> respond(accepted[0], frame), reason -> channels.remove(accepted[0]));
        channels.add(accepted[0]);
        accepted[0].start();
    }

    private void respond(FrameChannel channel, Frame frame) {
        if (frame.request() == null) {
            return;
        }
        handle(frame.request()).whenComplete((reply, failure) -> {
            NodeReply response = failure == null ? reply : new NodeReply.Failed(String.valueOf(failure.getMessage()));
            channel.send(OutgoingFrame.encode(new Frame(frame.correlation(), null, response)));
        });
    }

    private Promise<NodeReply> handle(NodeRequest request) {
        try {
            return handler.apply(request);
        } catch (RuntimeException e) {
            return Promise.ofException(e);
        }
    }
}
