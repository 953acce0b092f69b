package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * Tells a target that ended as planned from one that crashed while it was leaving.
 *
 * <p>A target has itself removed after its last response and before a planned end, so its departure is published soon after
 * that response; a target that crashes says nothing. DepartureMonitor is confined to its reactor's thread.
 */
final class DepartureMonitor {
    /** The time within which a departure is published; a control process answers its watchers every 300 ms or sooner. */
    static final long PUBLICATION_MILLIS = 500;

    private final Eventloop reactor;
    private final Map<String, SettablePromise<Boolean>> awaited = new HashMap<>();
    private Set<String> published = Set.of();

    static DepartureMonitor on(Eventloop reactor) {
        return new DepartureMonitor(reactor);
    }

    private DepartureMonitor(Eventloop reactor) {
        this.reactor = reactor;
    }

    /** Applies the ids of the published targets. */
    void update(Set<String> targets) {
        published = targets;
        Map<String, SettablePromise<Boolean>> departed = new HashMap<>(awaited);
        departed.keySet().removeAll(targets);
        departed.forEach((target, promise) -> complete(target, promise, true));
    }

    /** Returns true if the departure of a target has not been published yet. */
    boolean isPublished(String target) {
        return published.contains(target);
    }

    /**
     * Waits for the departure of a target.
     *
     * @return a promise of true if the departure has been published, or is in time, not null
     */
    Promise<Boolean> awaitDeparture(String target) {
        return isPublished(target) ? awaited.computeIfAbsent(target, this::await) : Promise.of(true);
    }

    private SettablePromise<Boolean> await(String target) {
        SettablePromise<Boolean> promise = new SettablePromise<>();
        reactor.delayBackground(PUBLICATION_MILLIS, () -> complete(target, promise, false));
        return promise;
    }

    private void complete(String target, SettablePromise<Boolean> promise, boolean departed) {
        if (awaited.remove(target, promise)) {
            promise.set(departed);
        }
    }
}
