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
    private final ConnectionReusePolicy trust;
    private final ConnectionObserver observer;
    private final Map<Long, Question> waiting = new HashMap<>();
    private FrameChannel channel;
    private Promise<FrameChannel> connecting;
    private long lastCorrelation;

    /** A request whose reply is waited for, and the connection that it went out on, null before that. */
    private static final class Question {
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
        this.trust = trust;
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
        Question question = new Question();
        waiting.put(correlation, question);
        connected().whenComplete((open, failure) -> {
            if (failure != null) {
                question.reply.trySetException(failure);
            } else if (waiting.containsKey(correlation)) {
                question.sentOn = open;
                open.send(new Frame(correlation, request, null));
            }
        });
        return Promises.timeout(timeoutMillis, question.reply)
                .whenComplete(() -> waiting.remove(correlation))
                .whenException(AsyncTimeoutException.class, timedOut -> ranOutOfTime(question, timeoutMillis));
    }

    /** Closes every connection; what waits fails. */
    public void close() {
        IOException reason = new IOException("closed here");
        if (channel != null) {
            channel.close(reason);
        }
        List.copyOf(waiting.values()).stream()
                .filter(question -> question.sentOn != null)
                .forEach(question -> question.sentOn.close(reason));
    }

    private void ranOutOfTime(Question question, long timeoutMillis) {
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
            trust.timedOut(clock.millis() - timeoutMillis / 2);
        }
        used.close(new IOException("silent for " + silentMillis + " ms"));
    }

    /** Uses a connection for nothing new, and closes it once nothing waits on it. */
    private void retire(FrameChannel retired) {
        if (channel == retired) {
            channel = null;
        }
        boolean awaited = waiting.values().stream().anyMatch(question -> question.sentOn == retired);
        if (!awaited) {
            retired.close(new IOException("replaced"));
        }
    }

    private Promise<FrameChannel> connected() {
        if (channel != null && !trust.isReusable(channel.lastReadMillis())) {
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
        opened[0] = new FrameChannel(socket, clock, this::received, reason -> lost(opened[0], reason));
        channel = opened[0];
        channel.start();
        return opened[0];
    }

    private void received(Frame frame) {
        Question question = waiting.remove(frame.correlation());
        if (question == null || frame.reply() == null) {
            return;
        }
        question.reply.trySet(frame.reply());
        if (question.sentOn != channel) {
            retire(question.sentOn);
        }
    }

    private void lost(FrameChannel ended, Exception reason) {
        if (channel == ended) {
            channel = null;
        }
        IOException wrapped = new IOException("lost the connection to " + address, reason);
        List<Question> failed = waiting.values().stream()
                .filter(question -> question.sentOn == ended)
                .toList();
        waiting.values().removeAll(failed);
        failed.forEach(question -> question.reply.trySetException(wrapped));
    }
}
