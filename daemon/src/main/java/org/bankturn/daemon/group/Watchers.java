package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Pending long polls for a state newer than the caller's; confined to the reactor's thread. */
final class Watchers {
    private final Eventloop reactor;
    private final Set<Watcher> waiting = new HashSet<>();

    private record Watcher(long haveIndex, SettablePromise<Boolean> newer) {}

    Watchers(Eventloop reactor) {
        this.reactor = reactor;
    }

    int size() {
        return waiting.size();
    }

    /** Returns a promise of true once the index exceeds {@code haveIndex}, or of false after {@code waitMillis}. */
    Promise<Boolean> await(long haveIndex, long waitMillis) {
        Watcher watcher = new Watcher(haveIndex, new SettablePromise<>());
        waiting.add(watcher);
        reactor.delayBackground(waitMillis, () -> {
            if (waiting.remove(watcher)) {
                watcher.newer().set(false);
            }
        });
        return watcher.newer();
    }

    /** Completes the polls of callers whose index is below {@code index}. */
    void wake(long index) {
        List<Watcher> woken = new ArrayList<>();
        waiting.removeIf(watcher -> watcher.haveIndex() < index && woken.add(watcher));
        woken.forEach(watcher -> watcher.newer().set(true));
    }
}
