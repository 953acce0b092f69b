package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import java.io.IOException;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.weights.ChangeMethod;
import org.bankturn.weights.StartOrder;
import org.bankturn.weights.UnansweredStart;

/**
 * Orders the engine on the same box to load the weights that a copy has staged.
 *
 * <p>Each order names the engine's incarnation and the revision that the engine reported before the staged weights were
 * verified. An order that was given up and is executed late is then rejected, since it would load whatever is staged by that
 * time; so is one that reaches an engine that was replaced, since what was verified is not staged there.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class EngineStarter {
    /** A read-back does not cover a piece that was altered since, so the order follows the first one within this time. */
    private static final long MAX_VERIFICATION_MILLIS = 1_000;

    private final CopyContext context;
    private final UnansweredStart unanswered = UnansweredStart.none();
    private String publishedInstance = "";

    /** The order that a former process may have sent, null if none is assumed. */
    private StartOrder assumed;

    private long assumedUntilMillis;

    /** The incarnation that orders are for, empty if it is not known. */
    private String instance = "";

    /** The incarnation that the last report was requested from; the revision counts for that one only. */
    private String reportedInstance = "";

    private long revision;

    EngineStarter(CopyContext context) {
        this.context = context;
    }

    /** Returns the incarnation that is believed to be at the engine's address, empty if it is not known. */
    String instance() {
        return instance;
    }

    /**
     * Updates the state from a report of the engine.
     *
     * @param report the report, not null
     * @param requestedFrom the incarnation that was believed to be at the address when the report was requested, not null
     */
    void observe(EngineReport report, String requestedFrom) {
        reportedInstance = requestedFrom;
        revision = report.revision();
        unanswered.observe(revision, report.heldVersion());
        updateAssumed();
    }

    /**
     * Treats an order as sent and not answered, because a former process may have sent it.
     *
     * @param untilMillis the time from which the engine can no longer execute the order
     */
    void assume(StartOrder order, long untilMillis) {
        assumed = order;
        assumedUntilMillis = untilMillis;
        unanswered.sent(order);
    }

    private void updateAssumed() {
        if (unanswered.order().isEmpty()) {
            assumed = null;
        } else if (assumed != null && context.clock().millis() >= assumedUntilMillis) {
            assumed = null;
            unanswered.rejected();
        }
    }

    /** Notes which incarnation is published at the engine's address; a change replaces what the engine said itself. */
    void publishedInstance(String published) {
        if (!published.equals(publishedInstance)) {
            publishedInstance = published;
            instance = published;
        }
    }

    /** Returns true if the last report is known to be of the incarnation that orders are for. */
    boolean hasCurrentReport() {
        return instance.equals(reportedInstance);
    }

    /** Returns an order for the engine as it last reported, not null. */
    StartOrder order(String model, int version, ChangeMethod method) {
        return new StartOrder(model, version, method, instance, revision);
    }

    /** Returns true if pieces of a version may be staged. */
    boolean allowsStaging(int version) {
        return unanswered.allowsStaging(version);
    }

    /** Verifies the staged weights and orders the engine to load them; fails unless the engine accepts the order. */
    Promise<Void> start(WeightsCopy copy, ChangeMethod method) {
        StartOrder order = unanswered.order().orElseGet(() -> order(copy.model(), copy.version(), method));
        return new Attempt(copy, order).run();
    }

    /** One attempt to start a copy, with what its log line says. */
    private final class Attempt {
        private final WeightsCopy copy;
        private final StartOrder order;
        private final long verificationMillis = context.clock().millis();
        private long orderMillis;
        private int restaged;
        private OrderOutcome outcome = OrderOutcome.NOT_SENT;

        Attempt(WeightsCopy copy, StartOrder order) {
            this.copy = copy;
            this.order = order;
        }

        Promise<Void> run() {
            return verify().then(this::send).toVoid().whenComplete((ignored, failure) -> log(failure));
        }

        /** Fails while an order or a piece of another copy may still take effect after the read-backs. */
        private Promise<Integer> verify() {
            if (order.version() != copy.version()) {
                return Promise.ofException(new IOException("the engine may still execute " + order));
            }
            if (context.commandsInFlight() > 0) {
                return Promise.ofException(new IOException("commands to the engine are still on their way"));
            }
            boolean sentBefore = unanswered.order().isPresent();
            if (!sentBefore && !hasCurrentReport()) {
                return Promise.ofException(new IOException("the engine has not reported since it was replaced"));
            }
            return copy.verify();
        }

        private Promise<PooledHttpClient.Response> send(int restagedPieces) {
            restaged = restagedPieces;
            orderMillis = context.clock().millis();
            if (orderMillis - verificationMillis > MAX_VERIFICATION_MILLIS) {
                return Promise.ofException(new IOException("the staged weights were verified too long ago"));
            }
            unanswered.sent(order);
            return context.callEngine(
                            context.dialect().order(order), context.dialect().startOrder(order))
                    .whenComplete((answer, failure) -> ended(failure));
        }

        private void ended(Exception failure) {
            outcome = OrderOutcome.of(failure);
            if (outcome == OrderOutcome.ACCEPTED) {
                unanswered.settle();
            } else if (failure instanceof HttpStatusException rejection) {
                rejected(rejection.head());
            }
            updateAssumed();
        }

        private void rejected(HttpHead rejection) {
            if (context.dialect().isOtherInstance(rejection)) {
                instance = context.dialect().instance(rejection).orElse("");
                unanswered.settle();
            } else {
                unanswered.rejected();
            }
        }

        private void log(Exception failure) {
            long now = context.clock().millis();
            context.metrics().startOrder(outcome.label());
            boolean sent = outcome != OrderOutcome.NOT_SENT;
            context.log()
                    .line(DecisionKind.WEIGHTS)
                    .with(DecisionField.EVENT, failure == null ? "start ordered" : "start failed")
                    .with(DecisionField.VERSION, order.version())
                    .with(DecisionField.METHOD, order.method())
                    .with(DecisionField.OUTCOME, outcome)
                    .with(DecisionField.TARGET, order.expectedInstance())
                    .with(DecisionField.REVISION, order.expectedRevision())
                    .with(DecisionField.RESTAGED, restaged)
                    .with(DecisionField.VERIFICATION_MS, (sent ? orderMillis : now) - verificationMillis)
                    .with(DecisionField.TOOK_MS, sent ? now - orderMillis : 0)
                    .with(DecisionField.ERROR, failure == null ? "" : failure.getMessage())
                    .write();
        }
    }
}
