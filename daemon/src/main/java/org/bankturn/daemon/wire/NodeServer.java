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
 * Takes requests of other processes and answers each with its own correlation.
 *
 * <p>NodeServer is confined to its reactor's thread.
 */
public final class NodeServer {
    /** Peers replace a connection that rested for 5 s before they use it, so one that is silent for longer is of no use. */
    private static final long MAX_SILENT_MILLIS = 30_000;

    private static final long SWEEP_INTERVAL_MILLIS = 5_000;

    private final NioReactor reactor;
    private final Clock clock;
    private final SimpleServer server;
    private final Function<NodeRequest, Promise<NodeReply>> handler;
    private final Set<FrameChannel> channels = new HashSet<>();

    /**
     * Creates a server that does not listen yet.
     *
     * @param reactor the reactor whose thread serves, not null
     * @param address where to listen, not null
     * @param handler answers a request, not null
     * @return the server, not null
     */
    public static NodeServer create(
            NioReactor reactor, Address address, Function<NodeRequest, Promise<NodeReply>> handler) {
        return create(reactor, Clock.system(), address, handler);
    }

    /**
     * Creates a server that does not listen yet.
     *
     * @param reactor the reactor whose thread serves, not null
     * @param clock the time, not null
     * @param address where to listen, not null
     * @param handler answers a request, not null
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
     * Begins to listen. The port is this process's alone, so a second process for the same box cannot start.
     *
     * @throws IOException if the port is taken
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

    /** Closes connections whose peers went away without an end that reached this process; descriptors are few. */
    private void scheduleSweep() {
        reactor.delayBackground(SWEEP_INTERVAL_MILLIS, () -> {
            long longAgo = clock.millis() - MAX_SILENT_MILLIS;
            List<FrameChannel> silent = channels.stream()
                    .filter(channel -> channel.lastReadMillis() < longAgo)
                    .toList();
            silent.forEach(channel -> channel.close(new IOException("silent for long")));
            scheduleSweep();
        });
    }

    private void serve(ITcpSocket socket) {
        FrameChannel[] own = new FrameChannel[1];
        own[0] = new FrameChannel(socket, clock, frame -> respond(own[0], frame), reason -> channels.remove(own[0]));
        channels.add(own[0]);
        own[0].start();
    }

    private void respond(FrameChannel channel, Frame frame) {
        if (frame.request() == null) {
            return;
        }
        handle(frame.request()).whenComplete((reply, failure) -> {
            NodeReply answer = failure == null ? reply : new NodeReply.Failed(String.valueOf(failure.getMessage()));
            channel.send(new Frame(frame.correlation(), null, answer));
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
