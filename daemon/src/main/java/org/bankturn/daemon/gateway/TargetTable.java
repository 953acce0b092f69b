package org.bankturn.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bankturn.daemon.publication.Published;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.EngineModel;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;

/** The targets that a gateway may send to, and which one takes the next request; confined to one thread. */
final class TargetTable {
    private static final double OTHER_HALL_MILLIS = 12;
    private static final double PLAIN_REQUEST_MILLIS = 20;

    private final Clock clock;
    private final String dataHall;
    private final Map<String, TargetState> targets = new HashMap<>();

    /**
     * What a target must be to take a request.
     *
     * @param service the service, not null
     * @param leastVersion the version of the weights that it must hold, 0 for any, -1 if the service holds none
     * @param excluded the incarnations that were tried, not null
     */
    record Wanted(Service service, int leastVersion, Set<String> excluded) {}

    TargetTable(Clock clock, String dataHall) {
        this.clock = clock;
        this.dataHall = dataHall;
    }

    void update(Published published) {
        targets.values().removeIf(state -> {
            boolean gone = !published.targets().containsKey(state.sighting().id());
            if (gone) {
                state.closeResting();
            }
            return gone;
        });
        for (TargetSighting sighting : published.targets().values()) {
            TargetState known = targets.get(sighting.id());
            if (known == null) {
                targets.put(sighting.id(), new TargetState(sighting));
            } else {
                known.update(sighting);
            }
        }
    }

    /** Returns the target that is likely to begin first; one that is avoided only if there is no other. */
    Optional<TargetState> choose(Wanted wanted) {
        TargetState best = null;
        double least = Double.MAX_VALUE;
        TargetState bestAvoided = null;
        double leastAvoided = Double.MAX_VALUE;
        long now = clock.millis();
        for (TargetState state : targets.values()) {
            if (!mayTake(state, wanted)) {
                continue;
            }
            double cost = cost(state, wanted.service());
            if (state.isAvoided(now)) {
                if (cost < leastAvoided) {
                    leastAvoided = cost;
                    bestAvoided = state;
                }
            } else if (cost < least) {
                least = cost;
                best = state;
            }
        }
        return Optional.ofNullable(best != null ? best : bestAvoided);
    }

    private static boolean mayTake(TargetState state, Wanted wanted) {
        TargetSighting sighting = state.sighting();
        boolean holds = wanted.leastVersion() < 0 || state.heldVersion() >= Math.max(1, wanted.leastVersion());
        return sighting.service().equals(wanted.service().name())
                && !sighting.draining()
                && holds
                && !wanted.excluded().contains(sighting.id());
    }

    /** Returns how long a request would wait there, in milliseconds, as far as this gateway's own requests tell. */
    private double cost(TargetState state, Service service) {
        EngineModel engine = service.engine();
        double own;
        if (engine == null) {
            own = state.inFlight() * PLAIN_REQUEST_MILLIS;
        } else {
            own = state.waitingPromptTokens() / engine.promptTokensPerMillisecond()
                    + state.inFlight() * engine.stepMillis();
        }
        double away = state.sighting().dataHall().equals(dataHall) ? 0 : OTHER_HALL_MILLIS;
        return (own + 1) * Math.max(0.5, state.lateness()) + away;
    }
}
