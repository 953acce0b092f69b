package org.bankturn.daemon.wire;

import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.time.Duration;
import java.util.function.Predicate;
import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.time.Clock;

/**
 * The connection to another process that new requests of one kind use, opened on demand and replaced once it is suspect.
 *
 * <p>PeerConnection is confined to its reactor's thread.
 */
final class PeerConnection {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final NioReactor reactor;
    private final Address address;
    private final SocketSettings socketSettings;
    private final Clock clock;
    private final ConnectionReusePolicy reusePolicy;
    private final Events events;
    private FrameChannel channel;
    private Promise<FrameChannel> connecting;
    private long unsentBytes;

    /**
     * What the owner of the connection is asked and told.
     *
     * @param isInUse returns true if a reply is awaited on the given connection, not null
     * @param received called for each frame, not null
     * @param lost called when a connection is closed, not null
     */
    record Events(Predicate<FrameChannel> isInUse, FrameChannel.Receiver received, CloseListener lost) {}

    /** Is told of closed connections. */
    @FunctionalInterface
    interface CloseListener {
        /** Called when a connection is closed. */
        void closed(FrameChannel channel, Exception reason);
    }

    PeerConnection(
            NioReactor reactor,
            Address address,
            SocketSettings socketSettings,
            Clock clock,
            ConnectionReusePolicy reusePolicy,
            Events events) {
        this.reactor = reactor;
        this.address = address;
        this.socketSettings = socketSettings;
        this.clock = clock;
        this.reusePolicy = reusePolicy;
        this.events = events;
    }

    /** Returns the connection for the next request. */
    Promise<FrameChannel> connect() {
        if (channel != null && !reusePolicy.isReusable(channel.lastProgressMillis())) {
            retire(channel);
        }
        if (channel != null) {
            return Promise.of(channel);
        }
        if (connecting != null) {
            return connecting;
        }
        Promise<FrameChannel> attempt = TcpSocket.connect(
                        reactor, address.toSocketAddress(), CONNECT_TIMEOUT, socketSettings)
                .map(this::open);
        if (!attempt.isComplete()) {
            connecting = attempt.whenComplete(() -> connecting = null);
        }
        return attempt;
    }

    /** Returns the size of the frames that wait to be written, or for the connection. */
    long unsentBytes() {
        return unsentBytes;
    }

    /** Adds a number of bytes to the unsent ones, negative if they were written or given up. */
    void addUnsentBytes(int bytes) {
        unsentBytes += bytes;
    }

    /** Returns true if new requests use the given connection. */
    boolean isCurrent(FrameChannel open) {
        return channel == open;
    }

    /** Stops using a connection for new requests, and closes it unless replies are awaited on it. */
    void retire(FrameChannel retired) {
        if (channel == retired) {
            channel = null;
        }
        if (!events.isInUse().test(retired)) {
            retired.close(new IOException("replaced"));
        }
    }

    /** Closes the connection, if any. */
    void close(Exception reason) {
        if (channel != null) {
            channel.close(reason);
        }
    }

    private FrameChannel open(TcpSocket socket) {
        FrameChannel[] opened = new FrameChannel[1];
        opened[0] = new FrameChannel(
                reactor, socket, ReceiveBudget.shared(), clock, events.received(), reason -> closed(opened[0], reason));
        channel = opened[0];
        channel.start();
        return opened[0];
    }

    private void closed(FrameChannel closed, Exception reason) {
        if (channel == closed) {
            channel = null;
        }
        events.lost().closed(closed, reason);
    }
}
