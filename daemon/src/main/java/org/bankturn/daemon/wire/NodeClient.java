package org.bankturn.daemon.wire;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.settings.Address;
import org.bankturn.time.Clock;

/**
 * Asks one other process, over one connection that is made when needed.
 *
 * <p>Replies are matched to requests by correlation, whatever order they come in; a lost connection fails everything
 * that waits on it. A connection on which nothing at all came while a request ran out of time is given up, since links
 * that were cut may leave connections that stay silent for good while new ones work.
 *
 * <p>NodeClient is confined to its reactor's thread.
 */
public final class NodeClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final NioReactor reactor;
    private final Address address;
    private final Clock clock;
    private final ConnectionObserver observer;
    private final Map<Long, SettablePromise<NodeReply>> waiting = new HashMap<>();
    private FrameChannel channel;
    private Promise<FrameChannel> connecting;
    private long lastCorrelation;

    NodeClient(NioReactor reactor, Address address, Clock clock, ConnectionObserver observer) {
        this.reactor = reactor;
        this.address = address;
        this.clock = clock;
        this.observer = observer;
    }

    /**
     * Asks.
     *
     * @param request the request, not null
     * @param timeoutMillis how long to wait for the reply
     * @return the reply; fails if there was no connection, it was lost, or time ran out
     */
    public Promise<NodeReply> ask(NodeRequest request, long timeoutMillis) {
        long correlation = ++lastCorrelation;
        SettablePromise<NodeReply> reply = new SettablePromise<>();
        waiting.put(correlation, reply);
        long readsBefore = channel == null ? 0 : channel.reads();
        FrameChannel usedBefore = channel;
        connected().whenComplete((open, failure) -> {
            if (failure != null) {
                reply.trySetException(failure);
            } else if (waiting.containsKey(correlation)) {
                open.send(new Frame(correlation, request, null));
            }
        });
        return Promises.timeout(timeoutMillis, reply)
                .whenException(
                        AsyncTimeoutException.class, timedOut -> giveUpIfSilent(usedBefore, readsBefore, timeoutMillis))
                .whenComplete(() -> waiting.remove(correlation));
    }

    /** Closes the connection if it is still the one that was used, or was made since, and nothing was read on it. */
    private void giveUpIfSilent(FrameChannel usedBefore, long readsBefore, long timeoutMillis) {
        boolean sameOrNew = channel != null && (usedBefore == null || channel == usedBefore);
        if (sameOrNew && channel.reads() == readsBefore) {
            observer.wentSilent(address, clock.millis() - channel.heardMillis(), channel.reads() > 0);
            channel.close(new IOException("silent for " + timeoutMillis + " ms"));
        }
    }

    /** Closes the connection; what waits on it fails. */
    public void close() {
        if (channel != null) {
            channel.close(new IOException("closed here"));
        }
    }

    private Promise<FrameChannel> connected() {
        if (channel != null) {
            return Promise.of(channel);
        }
        if (connecting != null) {
            return connecting;
        }
        Promise<FrameChannel> begun = TcpSocket.connect(reactor, address.toSocketAddress(), CONNECT_TIMEOUT, null)
                .map(this::open);
        if (!begun.isComplete()) {
            connecting = begun.whenComplete(() -> connecting = null);
        }
        return begun;
    }

    private FrameChannel open(TcpSocket socket) {
        channel = new FrameChannel(socket, clock, this::received, this::lost);
        channel.start();
        return channel;
    }

    private void received(Frame frame) {
        SettablePromise<NodeReply> reply = waiting.remove(frame.correlation());
        if (reply != null && frame.reply() != null) {
            reply.trySet(frame.reply());
        }
    }

    private void lost(Exception reason) {
        channel = null;
        List<SettablePromise<NodeReply>> failed = new ArrayList<>(waiting.values());
        waiting.clear();
        IOException wrapped = new IOException("lost the connection to " + address, reason);
        failed.forEach(reply -> reply.trySetException(wrapped));
    }
}
