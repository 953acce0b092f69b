package org.bankturn.daemon.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.daemon.publication.Published;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.EngineLoad;
import org.bankturn.routing.FirstEventEstimate;
import org.bankturn.routing.VersionsDue;
import org.bankturn.service.EngineModel;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;

/** The targets that a gateway may send to, and which one takes the next request; confined to one thread. */
final class TargetTable {
    private static final double OTHER_HALL_MILLIS = 12;
    private static final double PLAIN_REQUEST_MILLIS = 20;
    private static final double AVOIDED_MILLIS = 100_000;
    private static final double SPREAD = 0.3;
    private static final long UNHEARD_MILLIS = 400;

    private final Clock clock;
    private final String dataHall;
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
    private final Map<String, TargetState> targets = new HashMap<>();

    /**
     * What a target must be to take a request.
     *
     * @param service the service, not null
     * @param leastVersion the version of the weights that it must hold, 0 for any, -1 if the service holds none
     * @param due when requests must begin on newer weights, not null
     * @param promptTokens the size of its prompt
     * @param excluded the incarnations that were tried, not null
     */
    record Wanted(Service service, int leastVersion, VersionsDue due, int promptTokens, Set<String> excluded) {}

    /**
     * A target and what is predicted there.
     *
     * @param target the target, not null
     * @param predictedMillis the time until the first event
     */
    record Choice(TargetState target, double predictedMillis) {}

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

    /** Takes in what a target's engine said of its load. */
    void reported(String id, EngineLoad load, long ageMillis, long tookMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.reported(load, clock.millis() - tookMillis / 2 - ageMillis);
            state.pathTook(tookMillis);
        }
    }

    /** Takes in that nothing was heard of a target's engine for a while. */
    void unheard(String id, long tookMillis) {
        TargetState state = targets.get(id);
        if (state != null) {
            state.pathTook(Math.max(UNHEARD_MILLIS, tookMillis));
        }
    }

    /**
     * Returns the target that is likely to begin first; one that is avoided only if there is no other.
     *
     * <p>Predictions are spread at random, so that gateways that know the same do not all choose the same.
     */
    Optional<Choice> choose(Wanted wanted) {
        Choice best = null;
        double least = Double.MAX_VALUE;
        long now = clock.millis();
        for (TargetState state : targets.values()) {
            if (!mayTake(state, wanted)) {
                continue;
            }
            double predicted = predictedMillis(state, wanted, now);
            if (!wanted.due().mayBegin(state.heldVersion(), now, predicted)) {
                continue;
            }
            double spread = predicted * (1 + SPREAD * random.nextDouble());
            double cost = spread
                    + (isNear(state) ? 0 : OTHER_HALL_MILLIS)
                    + (state.isAvoided(now) || state.isChanging(now) ? AVOIDED_MILLIS : 0);
            if (cost < least) {
                least = cost;
                best = new Choice(state, predicted);
            }
        }
        return Optional.ofNullable(best);
    }

    private boolean isNear(TargetState state) {
        return state.sighting().dataHall().equals(dataHall);
    }

    private static boolean mayTake(TargetState state, Wanted wanted) {
        TargetSighting sighting = state.sighting();
        boolean holds = wanted.leastVersion() < 0 || state.heldVersion() >= Math.max(1, wanted.leastVersion());
        return sighting.service().equals(wanted.service().name())
                && !sighting.draining()
                && holds
                && !wanted.excluded().contains(sighting.id());
    }

    /** Returns how long a request would wait there for its first event, as far as is known here. */
    private static double predictedMillis(TargetState state, Wanted wanted, long now) {
        EngineModel engine = wanted.service().engine();
        if (engine == null) {
            return (state.inFlight() + 1) * PLAIN_REQUEST_MILLIS * state.lateness();
        }
        EngineLoad load = state.load(now);
        int sentSince = load == null ? state.inFlight() : state.sentSinceLoad();
        EngineLoad assumed = load == null ? new EngineLoad(0, 0, 0, 0, 1, false) : load;
        return FirstEventEstimate.of(engine)
                                .millis(assumed, sentSince, state.waitingPromptTokens(), wanted.promptTokens())
                        * Math.max(1, state.lateness())
                + state.pathMillis();
    }
}
