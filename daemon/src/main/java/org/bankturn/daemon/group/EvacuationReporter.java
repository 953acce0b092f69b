package org.bankturn.daemon.group;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.publication.HallEvacuation;

/**
 * Logs each evacuation that a control process learns of, and counts the evacuated data halls.
 *
 * <p>EvacuationReporter is confined to the member's thread.
 */
final class EvacuationReporter {
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final Map<String, HallEvacuation> known = new HashMap<>();

    /** Returns a reporter that knows no evacuation, not null. */
    static EvacuationReporter of(DecisionLog log, ServingMetrics metrics) {
        return new EvacuationReporter(log, metrics);
    }

    private EvacuationReporter(DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Reports the differences to the last call. */
    void update(List<HallEvacuation> evacuations) {
        for (HallEvacuation each : evacuations) {
            if (!each.equals(known.put(each.hall(), each))) {
                log.line(DecisionKind.EVACUATION)
                        .with(DecisionField.HALL, each.hall())
                        .with(DecisionField.EVENT, each.evacuated() ? "evacuated" : "ended")
                        .with(DecisionField.INDEX, each.orderIndex())
                        .write();
            }
        }
        metrics.setEvacuatedHalls(
                (int) evacuations.stream().filter(HallEvacuation::evacuated).count());
    }
}
