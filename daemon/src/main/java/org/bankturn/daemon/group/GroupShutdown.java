package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.agreement.RaftNode;
import org.bankturn.daemon.http.HttpListener;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.routing.ShutdownSchedule;
import org.bankturn.time.Clock;

/**
 * The planned shutdown of a control process: calls are served while leadership is handed over, later ones are refused, and
 * each gets an answer before the member stops.
 *
 * <p>GroupShutdown is confined to its reactor's thread.
 */
final class GroupShutdown {
    /** The time to hand leadership over, in which calls are still served. */
    private static final long HANDOVER_MILLIS = 1_000;

    /** The part of the grace period that is reserved for the member's stop. */
    private static final long MEMBER_STOP_MILLIS = 1_000;

    private static final long CHECK_MILLIS = 50;

    private final Eventloop reactor;
    private final Clock clock;
    private final HttpListener listener;
    private final GroupMember member;
    private final DecisionLog log;
    private final Map<ServerExchange, Runnable> unanswered = new LinkedHashMap<>();
    private int forwardedCalls;
    private boolean refusing;
    private SettablePromise<Void> ended;

    GroupShutdown(Eventloop reactor, Clock clock, HttpListener listener, GroupMember member, DecisionLog log) {
        this.reactor = reactor;
        this.clock = clock;
        this.listener = listener;
        this.member = member;
        this.log = log;
    }

    /** Returns true if no further calls are served, because the member is about to stop. */
    boolean isRefusing() {
        return refusing;
    }

    /** Registers a call and the action that answers it if the time is up. */
    void callStarted(ServerExchange exchange, Runnable finalAnswer) {
        unanswered.put(exchange, finalAnswer);
    }

    /** Unregisters a call that has its answer. */
    void callEnded(ServerExchange exchange) {
        unanswered.remove(exchange);
    }

    /** Follows a call of another process until it has its reply. */
    <T> Promise<T> track(Promise<T> reply) {
        forwardedCalls++;
        return reply.whenComplete(() -> forwardedCalls--);
    }

    /** Starts the shutdown, once; the promise completes when all calls have their answers or the time is up. */
    Promise<Void> start(long gracePeriodMillis) {
        if (ended == null) {
            ended = new SettablePromise<>();
            listener.drain();
            ReactorPromises.of(reactor, member.inspect(GroupShutdown::handOver)).whenException(this::recordNoHandover);
            check(clock.millis(), Math.max(gracePeriodMillis - MEMBER_STOP_MILLIS, gracePeriodMillis / 2));
        }
        return ended;
    }

    private static boolean handOver(RaftNode node) {
        node.transferLeadership();
        return true;
    }

    private void recordNoHandover(Exception failure) {
        log.line(DecisionKind.STOP)
                .with(DecisionField.EVENT, "leadership not handed over")
                .with(DecisionField.ERROR, failure.getMessage())
                .write();
    }

    private void check(long since, long periodMillis) {
        long waited = clock.millis() - since;
        long answerMillis = ShutdownSchedule.answerMillis(periodMillis);
        if (waited >= Math.min(HANDOVER_MILLIS, answerMillis)) {
            refusing = true;
            listener.refuseBodies();
            listener.closeIdle();
        }
        if (waited >= answerMillis) {
            List.copyOf(unanswered.values()).forEach(Runnable::run);
            listener.rejectIncomplete();
        }
        boolean done = refusing && forwardedCalls == 0 && listener.isUnconnected();
        if (done || ShutdownSchedule.mustExit(waited, periodMillis)) {
            log.line(DecisionKind.STOP)
                    .with(DecisionField.WAITED_MS, waited)
                    .with(DecisionField.UNDER_WAY, unanswered.size() + forwardedCalls)
                    .write();
            ended.set(null);
            return;
        }
        reactor.delayBackground(CHECK_MILLIS, () -> check(since, periodMillis));
    }
}
