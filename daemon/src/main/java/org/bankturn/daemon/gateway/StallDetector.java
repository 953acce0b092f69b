package org.bankturn.daemon.gateway;

import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.routing.ConnectionTrust;
import org.bankturn.routing.TargetState;
import org.bankturn.routing.TargetTable.Choice;

/**
 * Notices that nothing comes any more for a request that a target has.
 *
 * <p>A connection that was well before and says nothing may have gone silent for good although its target is well. So the
 * target is blamed only if the connection is new, or if the target spoke meanwhile on others that were open before.
 * StallDetector is confined to its reactor's thread.
 */
final class StallDetector {
    /** How often it is looked again whether another target can take the request. */
    private static final long LOOK_AGAIN_MILLIS = 200;

    private final Gateway gateway;
    private final ForwardedRequest request;
    private final Choice choice;
    private final TargetConnection connection;
    private final Runnable takeAway;
    private final ConnectionTrust.Wait wait;
    private long heardMillis;
    private boolean begun;
    private boolean noted;
    private boolean blamesTarget;
    private boolean over;

    /**
     * Starts to watch.
     *
     * @param gateway the gateway, not null
     * @param request the request, just sent, not null
     * @param choice the target that has it, not null
     * @param connection the connection that it was sent on, not null
     * @param takeAway is run when the request may be repeated and should go to another target, not null
     */
    static StallDetector start(
            Gateway gateway, ForwardedRequest request, Choice choice, TargetConnection connection, Runnable takeAway) {
        StallDetector watch = new StallDetector(gateway, request, choice, connection, takeAway);
        watch.checkLater(watch.boundMillis());
        return watch;
    }

    private StallDetector(
            Gateway gateway, ForwardedRequest request, Choice choice, TargetConnection connection, Runnable takeAway) {
        this.gateway = gateway;
        this.request = request;
        this.choice = choice;
        this.connection = connection;
        this.takeAway = takeAway;
        this.wait = gateway.connectionTrust().began(targetId());
        this.heardMillis = now();
    }

    // ---- queries

    /** Returns for how long nothing came, in milliseconds. */
    long silentMillis() {
        return now() - heardMillis;
    }

    /** Returns true if the silence that was noted is the target's and not only the connection's. */
    boolean blamesTarget() {
        return blamesTarget;
    }

    // ---- what happens

    /** A part of the answer came. */
    void onData() {
        heardMillis = now();
        begun = true;
        gateway.connectionTrust().heard(connection.openedMillis());
        choice.target().heard(heardMillis, connection.openedMillis());
    }

    /** The request is no longer at the target. */
    void stop() {
        over = true;
        gateway.connectionTrust().ended(wait);
    }

    private void checkLater(long millis) {
        gateway.reactor().delayBackground(Math.max(1, millis), this::check);
    }

    private void check() {
        if (over) {
            return;
        }
        long left = boundMillis() - silentMillis();
        if (left > 0) {
            checkLater(left);
            return;
        }
        note();
        if (!request.route().kind().mayRepeat()) {
            return;
        }
        if (request.hasAlternativeTarget()) {
            takeAway.run();
        } else {
            checkLater(LOOK_AGAIN_MILLIS);
        }
    }

    private void note() {
        if (noted) {
            return;
        }
        noted = true;
        TargetState target = choice.target();
        boolean wasWell = connection.hasCarried() || begun;
        boolean spokeToOthers = target.isAtWork(now(), heardMillis);
        blamesTarget = !wasWell || spokeToOthers;
        if (!blamesTarget) {
            gateway.connectionTrust().wentSilent(now() - silentMillis() / 2);
        }
        gateway.metrics().connectionSilent(ServingMetrics.PEER_TARGET);
        gateway.log()
                .line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "connection")
                .with(DecisionField.TARGET, targetId())
                .with(DecisionField.REQUEST, request.metadata().id())
                .with(DecisionField.KEPT, connection.hasCarried())
                .with(DecisionField.SILENT_MS, now() - connection.heardMillis())
                .write();
    }

    private long boundMillis() {
        return gateway.policy().silenceMillis(request.progress(), choice, heardMillis);
    }

    private String targetId() {
        return choice.target().sighting().id();
    }

    private long now() {
        return gateway.clock().millis();
    }
}
