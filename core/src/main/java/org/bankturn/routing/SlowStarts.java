package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.SlowStart;
import org.bankturn.time.Clock;

/**
 * What one gateway knows for all cold targets: the slow start of each service and the published gateways.
 *
 * <p>SlowStarts is mutable and not thread-safe.
 */
public final class SlowStarts {
    private final Clock clock;
    private final GatewayViews views = new GatewayViews();
    private final Map<String, SlowStart> byService = new HashMap<>();
    private Listener listener = (target, cause, forMillis) -> {};

    /** Receives each target that becomes cold. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Handles a target that becomes cold.
         *
         * @param target the target, not null
         * @param cause why it counts as cold, not null
         * @param forMillis for how long
         */
        void becameCold(TargetSighting target, ColdCause cause, long forMillis);
    }

    SlowStarts(Clock clock) {
        this.clock = clock;
    }

    /** Sets what is called for each target that becomes cold. */
    public void setListener(Listener newer) {
        listener = newer;
    }

    /** Sets the services of the current configuration. */
    public void setServices(Map<String, Service> services) {
        byService.clear();
        services.forEach((name, service) -> {
            if (service.slowStart().isLimited()) {
                byService.put(name, service.slowStart());
            }
        });
    }

    /**
     * Sets the published gateways.
     *
     * @param self the name of this gateway, not null
     * @param dataHalls the data hall of each published gateway by its name, not null
     */
    public void setGateways(String self, Map<String, String> dataHalls) {
        views.update(self, dataHalls, clock.millis());
    }

    /** Records that the published gateways were current at a time. */
    public void gatewaysConfirmed(long atMillis) {
        views.confirmed(atMillis, clock.millis());
    }

    long nowMillis() {
        return clock.millis();
    }

    SlowStart slowStart(String service) {
        return byService.getOrDefault(service, SlowStart.NONE);
    }

    /** Returns the time until this gateway may send to a cold target, Long.MAX_VALUE if it is not chosen. */
    long untilPermittedMillis(TargetSighting target, SlowStartShare share, long nowMillis) {
        return views.untilPermittedMillis(target.id(), target.dataHall(), share, nowMillis);
    }

    void becameCold(TargetSighting target, ColdCause cause, long forMillis) {
        listener.becameCold(target, cause, forMillis);
    }
}
