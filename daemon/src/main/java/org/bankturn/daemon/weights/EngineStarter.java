package org.bankturn.daemon.weights;

import io.activej.promise.Promise;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.weights.ChangeMethod;

/**
 * Orders the engine on the same box to load the weights that a copy has staged.
 *
 * <p>This class is confined to its reactor's thread.
 */
final class EngineStarter {
    private final CopyContext context;
    private long revision;

    EngineStarter(CopyContext context) {
        this.context = context;
    }

    /** Updates the state from a report of the engine. */
    void observe(EngineReport report) {
        revision = report.revision();
    }

    /** Verifies the staged weights and orders the engine to load them; fails unless the engine accepts the order. */
    Promise<Void> start(WeightsCopy copy, ChangeMethod method) {
        return new Attempt(copy, method).run();
    }

    /** One attempt to start a copy, with what its log line says. */
    private final class Attempt {
        private final WeightsCopy copy;
        private final ChangeMethod method;
        private final long verificationMillis = context.clock().millis();
        private long orderMillis;
        private int restaged;
        private OrderOutcome outcome = OrderOutcome.NOT_SENT;

        Attempt(WeightsCopy copy, ChangeMethod method) {
            this.copy = copy;
            this.method = method;
        }

        Promise<Void> run() {
            return copy.verify().then(this::order).toVoid().whenComplete((ignored, failure) -> log(failure));
        }

        private Promise<PooledHttpClient.Response> order(int restagedPieces) {
            restaged = restagedPieces;
            orderMillis = context.clock().millis();
            byte[] order = context.dialect().startOrder(copy.model(), copy.version(), method);
            return context.callEngine(context.dialect().order(), order)
                    .whenComplete((answer, failure) -> outcome = OrderOutcome.of(failure));
        }

        private void log(Exception failure) {
            long now = context.clock().millis();
            context.metrics().startOrder(outcome.label());
            boolean sent = outcome != OrderOutcome.NOT_SENT;
            context.log()
                    .line(DecisionKind.WEIGHTS)
                    .with(DecisionField.EVENT, failure == null ? "start ordered" : "start failed")
                    .with(DecisionField.VERSION, copy.version())
                    .with(DecisionField.METHOD, method)
                    .with(DecisionField.OUTCOME, outcome)
                    .with(DecisionField.REVISION, revision)
                    .with(DecisionField.RESTAGED, restaged)
                    .with(DecisionField.VERIFICATION_MS, (sent ? orderMillis : now) - verificationMillis)
                    .with(DecisionField.TOOK_MS, sent ? now - orderMillis : 0)
                    .with(DecisionField.ERROR, failure == null ? "" : failure.getMessage())
                    .write();
        }
    }
}
