package org.bankturn.daemon.gateway;

import io.activej.reactor.schedule.ScheduledRunnable;
import java.util.Optional;
import org.bankturn.crash.SentRequest;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.routing.Candidate;
import org.bankturn.routing.ConnectionReusePolicy;
import org.bankturn.routing.FailureCause;
import org.bankturn.routing.TargetState;

/**
 * Detects that no more data arrives for a request sent to a target.
 *
 * <p>A connection that worked before may be dead although its target is healthy. The target is therefore blamed only if
 * the connection never carried data, or if the target meanwhile answered on others that were already open.
 * StallDetector is confined to its reactor's thread.
 */
final class StallDetector {
    /** How often to check again whether another target can take the request. */
    private static final long RECHECK_INTERVAL_MILLIS = 200;

    private final Gateway gateway;
    private final ForwardedRequest request;
    private final Candidate choice;
    private final TargetConnection connection;
    private final SentRequest sent;
    private final Runnable onStall;
    private final Runnable onOutdatedWeights;
    private final ConnectionReusePolicy.PendingRequest wait;
    private long lastDataMillis;
    private boolean dataReceived;
    private boolean stallRecorded;
    private boolean keptRecorded;
    private boolean blamesTarget;
    private boolean stopped;
    private ScheduledRunnable nextCheck;

    /**
     * Starts monitoring a request.
     *
     * @param gateway the gateway, not null
     * @param request the request, which is about to be sent, not null
     * @param choice the selected target, not null
     * @param connection the connection used for the request, not null
     * @param sent the request at the target, not null
     * @param onStall runs, repeatedly while nothing arrives, when the request may be repeated and another target may
     *     take it over, not null
     */
    static StallDetector start(
            Gateway gateway,
            ForwardedRequest request,
            Candidate choice,
            TargetConnection connection,
            SentRequest sent,
            Runnable onStall,
            Runnable onOutdatedWeights) {
        StallDetector detector =
                new StallDetector(gateway, request, choice, connection, sent, onStall, onOutdatedWeights);
        detector.scheduleCheck(detector.silenceLimitMillis());
        return detector;
    }

    private StallDetector(
            Gateway gateway,
            ForwardedRequest request,
            Candidate choice,
            TargetConnection connection,
            SentRequest sent,
            Runnable onStall,
            Runnable onOutdatedWeights) {
        this.gateway = gateway;
        this.request = request;
        this.choice = choice;
        this.connection = connection;
        this.sent = sent;
        this.onStall = onStall;
        this.onOutdatedWeights = onOutdatedWeights;
        this.wait = gateway.connectionTrust().requestSent(targetId());
        this.lastDataMillis = now();
    }

    // ---- queries

    /** Returns the time since data last arrived, in milliseconds. */
    long silentMillis() {
        return now() - lastDataMillis;
    }

    /** Returns true if the recorded stall is attributed to the target and not only to the connection. */
    boolean blamesTarget() {
        return blamesTarget;
    }

    // ---- events

    /** Records that a part of the response arrived. */
    void onData() {
        lastDataMillis = now();
        dataReceived = true;
        gateway.connectionTrust().dataReceived(connection.openedMillis());
        choice.target().dataReceived(lastDataMillis, connection.openedMillis());
    }

    /** Stops monitoring the request. */
    void stop() {
        stopped = true;
        nextCheck.cancel();
        gateway.connectionTrust().requestEnded(wait);
    }

    private void scheduleCheck(long millis) {
        nextCheck = gateway.reactor().delayBackground(Math.max(1, millis), this::check);
    }

    private void check() {
        if (stopped) {
            return;
        }
        long remainingMillis = silenceLimitMillis() - silentMillis();
        if (remainingMillis > 0) {
            scheduleCheck(remainingMillis);
            return;
        }
        recordStall();
        if (!request.route().kind().isRetryable()) {
            recordKept(FailureCause.NOT_REPEATABLE);
            return;
        }
        if (!dataReceived && gateway.policy().holdsOutdatedWeights(request.service(), choice.target())) {
            onOutdatedWeights.run();
            return;
        }
        scheduleCheck(RECHECK_INTERVAL_MILLIS);
        Optional<FailureCause> obstacle = request.retryObstacle();
        if (obstacle.isEmpty()) {
            gateway.connectionTrust().requestEnded(wait);
            onStall.run();
        } else {
            recordKept(obstacle.get());
        }
    }

    /** Records, once, that the request stays with its silent target. */
    private void recordKept(FailureCause obstacle) {
        if (keptRecorded) {
            return;
        }
        keptRecorded = true;
        gateway.log()
                .line(DecisionKind.STALLED)
                .with(DecisionField.REQUEST, request.metadata().id())
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.CAUSE, obstacle.label())
                .with(DecisionField.SENDS, request.progress().sends())
                .with(DecisionField.HELD_BACK, gateway.policy().heldBackTargets(request.progress()))
                .with(DecisionField.SILENT_MS, silentMillis())
                .with(DecisionField.SILENCE_LIMIT_MS, silenceLimitMillis())
                .with(DecisionField.REMAINING_MS, request.remainingMillis())
                .write();
    }

    private void recordStall() {
        if (stallRecorded) {
            return;
        }
        stallRecorded = true;
        gateway.crashDetector().runs().onSilence(sent);
        TargetState target = choice.target();
        boolean connectionWorked = connection.hasReceivedResponse() || dataReceived;
        boolean targetResponsive = target.hasRecentActivity(now(), lastDataMillis);
        blamesTarget = !connectionWorked || targetResponsive;
        if (!blamesTarget) {
            gateway.connectionTrust().timedOut(now() - silentMillis() / 2);
        }
        gateway.metrics().silentConnectionClosed(ServingMetrics.PEER_TARGET);
        gateway.log()
                .line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "connection")
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, request.metadata().id())
                .with(DecisionField.KEPT, connection.hasReceivedResponse())
                .with(DecisionField.SILENT_MS, now() - connection.lastReadMillis())
                .write();
    }

    /** Returns the time that the target may send nothing, in milliseconds. */
    long silenceLimitMillis() {
        return gateway.policy().silenceTimeoutMillis(request.progress(), choice, lastDataMillis, dataReceived);
    }

    private String targetId() {
        return choice.target().sighting().id();
    }

    private long now() {
        return gateway.clock().millis();
    }
}
