package org.bankturn.daemon.wire;

import io.activej.async.exception.AsyncTimeoutException;
import io.activej.common.MemSize;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.activej.reactor.net.SocketSettings;
import io.activej.reactor.nio.NioReactor;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.daemon.settings.Address;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.time.Clock;

/**
 * Sends requests to one other process, over connections that are opened on demand: one for small messages and, once there
 * are large ones, a second for these, so that urgent messages do not wait behind them.
 *
 * <p>Replies are matched to requests by correlation identifier, in any order; a lost connection fails all requests pending
 * on it. An open connection may go silent while new connections work, so a connection on which a request timed out is not
 * used for further requests, and one that the reuse policy rejects is replaced before use.
 *
 * <p>A request on the second connection times out only once its bytes, and those of its reply, have stopped moving.
 *
 * <p>NodeClient is confined to its reactor's thread.
 */
public final class NodeClient {
    /** Bounds the bytes that count as written and are still under way; enough for 20 Mbit/s over 50 ms. */
    private static final int BULK_SEND_BUFFER_BYTES = 128 << 10;

    /** The time that the bytes in the send buffer take at 2 Mbit/s. */
    private static final long SEND_BUFFER_MILLIS = 1_000;

    private final NioReactor reactor;
    private final Address address;
    private final Clock clock;
    private final ConnectionReusePolicy reusePolicy;
    private final ConnectionObserver observer;
    private final long maxUnsentBytes;
    private final PeerConnection regular;
    private final PeerConnection bulk;
    private final Map<Long, PendingRequest> pending = new HashMap<>();

    /** The kinds of requests whose replies may be large; others are added once a large one was received. */
    private final Set<Class<?>> largeReplyKinds =
            new HashSet<>(List.of(NodeRequest.GetPiece.class, NodeRequest.GetChunk.class));

    private long lastCorrelation;

    /** A request that awaits its reply. */
    private final class PendingRequest {
        private final long correlation;
        private final Class<?> kind;
        private final PeerConnection connection;
        private final OutgoingFrame frame;
        private final long timeoutMillis;
        private final SettablePromise<NodeReply> reply = new SettablePromise<>();
        private long waitingSinceMillis;
        private long progressMillis;
        private boolean written;

        /** Null until the request is sent. */
        private FrameChannel sentOn;

        private ScheduledRunnable timer;

        PendingRequest(long correlation, NodeRequest request, long timeoutMillis) {
            this.correlation = correlation;
            this.kind = request.getClass();
            this.timeoutMillis = timeoutMillis;
            this.waitingSinceMillis = clock.millis();
            this.progressMillis = waitingSinceMillis;
            this.frame = OutgoingFrame.encode(new Frame(correlation, request, null), this::frameEnded);
            this.connection = frame.isLarge() || largeReplyKinds.contains(kind) ? bulk : regular;
        }

        /** Returns true if no more waits to be sent than a process that does not read may cost. */
        boolean isAdmitted() {
            return connection.unsentBytes() < maxUnsentBytes;
        }

        void start() {
            pending.put(correlation, this);
            connection.addUnsentBytes(frame.bytes());
            awaitReply(timeoutMillis);
            connection.connect().whenComplete((open, failure) -> {
                if (failure != null) {
                    fail(failure);
                } else if (isPending()) {
                    sentOn = open;
                    open.send(frame);
                }
            });
        }

        boolean isPending() {
            return pending.get(correlation) == this;
        }

        void succeed(NodeReply value) {
            end();
            reply.trySet(value);
        }

        void fail(Exception failure) {
            if (isPending()) {
                end();
                reply.trySetException(failure);
            }
        }

        private void end() {
            pending.remove(correlation);
            timer.cancel();
            if (sentOn == null) {
                frame.end();
            } else {
                sentOn.withdraw(frame);
            }
        }

        private void frameEnded() {
            written = true;
            connection.addUnsentBytes(-frame.bytes());
            if (connection == bulk && isPending()) {
                long bufferedMillis = frame.isLarge() ? SEND_BUFFER_MILLIS : 0;
                progressMillis = clock.millis() + bufferedMillis;
            }
        }

        private void awaitReply(long delayMillis) {
            timer = reactor.delay(delayMillis, this::onTimer);
        }

        private void onTimer() {
            if (isMoving()) {
                progressMillis = Math.max(progressMillis, sentOn.lastProgressMillis());
            }
            long remainingMillis = progressMillis + timeoutMillis - clock.millis();
            if (progressMillis > waitingSinceMillis && remainingMillis > 0) {
                waitingSinceMillis = progressMillis;
                awaitReply(remainingMillis);
                return;
            }
            fail(new AsyncTimeoutException("Promise timeout"));
            requestTimedOut(this);
        }

        /** Returns true if the request, one before it, or a large reply is being transferred. */
        private boolean isMoving() {
            return mayOutlastTimeout() && (!written || sentOn.isReceivingLargeFrame());
        }

        private boolean mayOutlastTimeout() {
            return sentOn != null && (connection == bulk || kind == NodeRequest.WatchPublication.class);
        }
    }

    NodeClient(
            NioReactor reactor,
            Address address,
            Clock clock,
            ConnectionReusePolicy reusePolicy,
            ConnectionObserver observer,
            long maxUnsentBytes) {
        this.reactor = reactor;
        this.address = address;
        this.clock = clock;
        this.reusePolicy = reusePolicy;
        this.observer = observer;
        this.maxUnsentBytes = maxUnsentBytes;
        this.regular = connection(SocketSettings.defaultInstance());
        this.bulk = connection(SocketSettings.builder()
                .withSendBufferSize(MemSize.of(BULK_SEND_BUFFER_BYTES))
                .build());
    }

    private PeerConnection connection(SocketSettings socketSettings) {
        return new PeerConnection(
                reactor,
                address,
                socketSettings,
                clock,
                reusePolicy,
                new PeerConnection.Events(this::isInUse, this::replyReceived, this::connectionLost));
    }

    /**
     * Sends a request.
     *
     * @param request the request, not null
     * @param timeoutMillis the timeout for the reply, which for a large message counts from its last part
     * @return the reply; fails if the connection could not be established, was lost, or the request timed out, and at once
     *     if too much waits to be sent
     */
    public Promise<NodeReply> ask(NodeRequest request, long timeoutMillis) {
        PendingRequest entry = new PendingRequest(++lastCorrelation, request, timeoutMillis);
        if (!entry.isAdmitted()) {
            observer.onMessageDropped(address.toString(), false, entry.frame.bytes(), entry.connection.unsentBytes());
            return Promise.ofException(new IOException("too much waits to be sent to " + address));
        }
        entry.start();
        return entry.reply;
    }

    /** Closes every connection and fails the pending requests on them. */
    public void close() {
        IOException reason = new IOException("connection closed locally");
        regular.close(reason);
        bulk.close(reason);
        List.copyOf(pending.values()).stream()
                .filter(entry -> entry.sentOn != null)
                .forEach(entry -> entry.sentOn.close(reason));
    }

    private void requestTimedOut(PendingRequest timedOut) {
        FrameChannel used = timedOut.sentOn;
        if (used == null || used.isClosed()) {
            return;
        }
        timedOut.connection.retire(used);
        long silentMillis = clock.millis() - used.lastProgressMillis();
        if (silentMillis < timedOut.timeoutMillis / 2) {
            return;
        }
        boolean established = used.readCount() > 0;
        observer.onSilentConnection(address, silentMillis, established);
        if (established) {
            // connections to other processes may be silent too; marking them avoids one timeout after another
            reusePolicy.timedOut(clock.millis() - timedOut.timeoutMillis / 2);
        }
        used.close(new IOException("silent for " + silentMillis + " ms"));
    }

    private boolean isInUse(FrameChannel channel) {
        return pending.values().stream().anyMatch(entry -> entry.sentOn == channel);
    }

    private void replyReceived(Frame frame, boolean large) {
        PendingRequest entry = pending.get(frame.correlation());
        if (entry == null || frame.reply() == null) {
            return;
        }
        if (large) {
            largeReplyKinds.add(entry.kind);
        }
        entry.succeed(frame.reply());
        if (!entry.connection.isCurrent(entry.sentOn)) {
            entry.connection.retire(entry.sentOn);
        }
    }

    private void connectionLost(FrameChannel closed, Exception reason) {
        IOException wrapped = new IOException("connection lost to " + address, reason);
        List<PendingRequest> failed = pending.values().stream()
                .filter(entry -> entry.sentOn == closed)
                .toList();
        failed.forEach(entry -> entry.fail(wrapped));
    }
}
