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
 * Asks one other process, over one connection that is made when needed.
 *
 * <p>Replies are matched to requests by correlation, whatever order they come in; a lost connection fails everything
 * that waits on it. Open connections may go silent for good while new ones work, so one on which a request ran out of time
 * takes no further request, and one that is not trusted, by what was seen on others, is replaced before it is used.
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

    /** A request whose reply is waited for, and the connection that it went out on, null before that. */
    private static final class PendingRequest {
        private final SettablePromise<NodeReply> reply = new SettablePromise<>();
        private FrameChannel sentOn;
    }

    NodeClient(
            NioReactor reactor,
            Address address,
            Clock clock,
            ConnectionReusePolicy trust,
            ConnectionObserver observer) {
        this.reactor = reactor;
        this.address = address;
        this.clock = clock;
        this.reusePolicy = trust;
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
        PendingRequest question = new PendingRequest();
        pending.put(correlation, question);
        connect().whenComplete((open, failure) -> {
            if (failure != null) {
                question.reply.trySetException(failure);
            } else if (pending.containsKey(correlation)) {
                question.sentOn = open;
                open.send(new Frame(correlation, request, null));
            }
        });
        return Promises.timeout(timeoutMillis, question.reply)
                .whenComplete(() -> pending.remove(correlation))
                .whenException(AsyncTimeoutException.class, timedOut -> requestTimedOut(question, timeoutMillis));
    }

    /** Closes every connection; what waits fails. */
    public void close() {
        IOException reason = new IOException("closed here");
        if (channel != null) {
            channel.close(reason);
        }
        List.copyOf(pending.values()).stream()
                .filter(question -> question.sentOn != null)
                .forEach(question -> question.sentOn.close(reason));
    }

    private void requestTimedOut(PendingRequest question, long timeoutMillis) {
        FrameChannel used = question.sentOn;
        if (used == null || used.isClosed()) {
            return;
        }
        retire(used);
        long silentMillis = clock.millis() - used.lastReadMillis();
        if (silentMillis < timeoutMillis / 2) {
            return;
        }
        boolean kept = used.readCount() > 0;
        observer.onSilentConnection(address, silentMillis, kept);
        if (kept) {
            // found out one by one, silent connections to control processes would cost their time-outs in turn
            reusePolicy.timedOut(clock.millis() - timeoutMillis / 2);
        }
        used.close(new IOException("silent for " + silentMillis + " ms"));
    }

    /** Uses a connection for nothing new, and closes it once nothing waits on it. */
    private void retire(FrameChannel retired) {
        if (channel == retired) {
            channel = null;
        }
        boolean awaited = pending.values().stream().anyMatch(question -> question.sentOn == retired);
        if (!awaited) {
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
        Promise<FrameChannel> begun = TcpSocket.connect(reactor, address.toSocketAddress(), CONNECT_TIMEOUT, null)
                .map(this::open);
        if (!begun.isComplete()) {
            connecting = begun.whenComplete(() -> connecting = null);
        }
        return begun;
    }

    private FrameChannel open(TcpSocket socket) {
        FrameChannel[] opened = new FrameChannel[1];
        opened[0] = new FrameChannel(socket, clock, this::replyReceived, reason -> connectionLost(opened[0], reason));
        channel = opened[0];
        channel.start();
        return opened[0];
    }

    private void replyReceived(Frame frame) {
        PendingRequest question = pending.remove(frame.correlation());
        if (question == null || frame.reply() == null) {
            return;
        }
        question.reply.trySet(frame.reply());
        if (question.sentOn != channel) {
            retire(question.sentOn);
        }
    }

    private void connectionLost(FrameChannel ended, Exception reason) {
        if (channel == ended) {
            channel = null;
        }
        IOException wrapped = new IOException("lost the connection to " + address, reason);
        List<PendingRequest> failed = pending.values().stream()
                .filter(question -> question.sentOn == ended)
                .toList();
        pending.values().removeAll(failed);
        failed.forEach(question -> question.reply.trySetException(wrapped));
    }
}
