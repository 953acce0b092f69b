package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.daemon.publication.PublishedState;

/**
 * Tells a target that ended as planned from one that crashed while it was leaving.
 *
 * <p>A target has itself removed after its last response and before a planned end, so that it left is published soon after
 * that response; a target that crashes says nothing. Its removal alone shows nothing: a crashed target is removed, too,
 * once its heartbeats are missed or another target registers its address.
 *
 * <p>DepartureMonitor is confined to its reactor's thread.
 */
final class DepartureMonitor {
    /** The time within which a departure is published; a control process answers its watchers every 300 ms or sooner. */
    static final long PUBLICATION_MILLIS = 500;

    /** Exceeds the number of targets that leave while responses await the outcome of a check. */
    private static final int MAX_LEFT = 512;

    private final Eventloop reactor;
    private final Map<String, Long> left = new LinkedHashMap<>();
    private final List<Waiter> waiters = new ArrayList<>();
    private Set<String> published = Set.of();
    private long updates;

    private record Waiter(String target, SettablePromise<Boolean> departed) {}

    static DepartureMonitor on(Eventloop reactor) {
        return new DepartureMonitor(reactor);
    }

    private DepartureMonitor(Eventloop reactor) {
        this.reactor = reactor;
    }

    /** Returns the number of publications received so far. */
    long updates() {
        return updates;
    }

    /** Returns true if the target is known to have left at its own request. */
    boolean hasLeft(String target) {
        return left.containsKey(target);
    }

    /** Returns true if the removal of a target has not been published yet. */
    boolean isPublished(String target) {
        return published.contains(target);
    }

    /** Applies the published targets and those that left. */
    void update(PublishedState newer) {
        updates++;
        published = newer.targets().keySet();
        newer.left().forEach(target -> left.put(target, updates));
        while (left.size() > MAX_LEFT) {
            left.remove(left.keySet().iterator().next());
        }
        List<Waiter> departed = waiters.stream()
                .filter(each -> newer.left().contains(each.target()))
                .toList();
        departed.forEach(each -> complete(each, true));
    }

    /**
     * Waits until a target has left at its own request.
     *
     * @param target the target, not null
     * @param since the number of publications received before those that count
     * @return a promise of true if a publication that counts says so, or one in time does, not null
     */
    Promise<Boolean> awaitDeparture(String target, long since) {
        if (left.getOrDefault(target, 0L) > since) {
            return Promise.of(true);
        }
        Waiter waiter = new Waiter(target, new SettablePromise<>());
        waiters.add(waiter);
        reactor.delayBackground(PUBLICATION_MILLIS, () -> complete(waiter, false));
        return waiter.departed();
    }

    private void complete(Waiter waiter, boolean departed) {
        waiters.remove(waiter);
        waiter.departed().trySet(departed);
    }
}
