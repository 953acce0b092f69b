package org.bankturn.daemon.wire;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.net.socket.tcp.TcpSocket;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.time.Clock;

/**
 * Sends requests to one other process, over one connection that is opened on demand.
 *
 * <p>Replies are matched to requests by correlation identifier, in any order; a lost connection fails all requests pending
 * on it. An open connection may go silent while new connections work, so a connection on which a request timed out is not
 * used for further requests, and one that the reuse policy rejects is replaced before use.
 *
 * <p>NodeClient is confined to its reactor's thread.
 */
public final class NodeClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

    private final NioReactor reactor;
    private final Address address;
    private final Clock clock;
    private final ConnectionReusePolicy reusePolicy;
    private final ConnectionObserver observer;
    private final Map<Long, PendingRequest> pending = new HashMap<>();
    private FrameChannel channel;
    private Promise<FrameChannel> connecting;
    private long lastCorrelation;

    /** A request that awaits its reply, and the connection it was sent on, null until it is sent. */
    private static final class PendingRequest {
        private final SettablePromise<NodeReply> reply = new SettablePromise<>();
        private FrameChannel sentOn;
    }

    NodeClient(
            NioReactor reactor,
            Address address,
            Clock clock,
            ConnectionReusePolicy reusePolicy,
            ConnectionObserver observer) {
        this.reactor = reactor;
        this.address = address;
        this.clock = clock;
        this.reusePolicy = reusePolicy;
        this.observer = observer;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param timeoutMillis the timeout for the reply
     * @return the reply; fails if the connection could not be established, was lost, or the request timed out
     */
    public Promise<NodeReply> ask(NodeRequest request, long timeoutMillis) {
        long correlation = ++lastCorrelation;
        PendingRequest entry = new PendingRequest();
        pending.put(correlation, entry);
        connect().whenComplete((open, failure) -> {
            if (failure != null) {
                entry.reply.trySetException(failure);
            } else if (pending.containsKey(correlation)) {
                entry.sentOn = open;
                open.send(new Frame(correlation, request, null));
            }
        });
        return Promises.timeout(timeoutMillis, entry.reply)
                .whenComplete(() -> pending.remove(correlation))
                .whenException(AsyncTimeoutException.class, timedOut -> requestTimedOut(entry, timeoutMillis));
    }

    /** Closes every connection and fails the pending requests on them. */
    public void close() {
        IOException reason = new IOException("connection closed locally");
        if (channel != null) {
            channel.close(reason);
        }
        List.copyOf(pending.values()).stream()
                .filter(entry -> entry.sentOn != null)
                .forEach(entry -> entry.sentOn.close(reason));
    }

    private void requestTimedOut(PendingRequest timedOut, long timeoutMillis) {
        FrameChannel used = timedOut.sentOn;
        if (used == null || used.isClosed()) {
            return;
        }
        retire(used);
        long silentMillis = clock.millis() - used.lastReadMillis();
        if (silentMillis < timeoutMillis / 2) {
            return;
        }
        boolean established = used.readCount() > 0;
        observer.onSilentConnection(address, silentMillis, established);
        if (established) {
            // connections to other processes may be silent too; marking them avoids one timeout after another
            reusePolicy.timedOut(clock.millis() - timeoutMillis / 2);
        }
        used.close(new IOException("silent for " + silentMillis + " ms"));
    }

    /** Stops using a connection for new requests, and closes it unless requests are pending on it. */
    private void retire(FrameChannel retired) {
        if (channel == retired) {
            channel = null;
        }
        boolean inUse = pending.values().stream().anyMatch(entry -> entry.sentOn == retired);
        if (!inUse) {
            retired.close(new IOException("replaced"));
        }
    }

    private Promise<FrameChannel> connect() {
        if (channel != null && !reusePolicy.isReusable(channel.lastReadMillis())) {
            retire(channel);
        }
        if (channel != null) {
            return Promise.of(channel);
        }
        if (connecting != null) {
            return connecting;
        }
        Promise<FrameChannel> attempt = TcpSocket.connect(reactor, address.toSocketAddress(), CONNECT_TIMEOUT, null)
                .map(this::open);
        if (!attempt.isComplete()) {
            connecting = attempt.whenComplete(() -> connecting = null);
        }
        return attempt;
    }

    private FrameChannel open(TcpSocket socket) {
        FrameChannel[] opened = new FrameChannel[1];
        opened[0] = new FrameChannel(socket, clock, this::replyReceived, reason -> connectionLost(opened[0], reason));
        channel = opened[0];
        channel.start();
        return opened[0];
    }

    private void replyReceived(Frame frame) {
        PendingRequest entry = pending.remove(frame.correlation());
        if (entry == null || frame.reply() == null) {
            return;
        }
        entry.reply.trySet(frame.reply());
        if (entry.sentOn != channel) {
            retire(entry.sentOn);
        }
    }

    private void connectionLost(FrameChannel closed, Exception reason) {
        if (channel == closed) {
            channel = null;
        }
        IOException wrapped = new IOException("connection lost to " + address, reason);
        List<PendingRequest> failed = pending.values().stream()
                .filter(entry -> entry.sentOn == closed)
                .toList();
        pending.values().removeAll(failed);
        failed.forEach(entry -> entry.reply.trySetException(wrapped));
    }
}
