package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.time.Clock;

/** Pending long polls for a state newer than the caller's; confined to the reactor's thread. */
final class Watchers {
    private final Eventloop reactor;
    private final WakeSchedule schedule;
    private final Set<Watcher> waiting = new HashSet<>();
    private long newestIndex;
    private boolean roundScheduled;

    private record Watcher(long haveIndex, SettablePromise<Boolean> newer) {}

    Watchers(Eventloop reactor, Clock clock) {
        this.reactor = reactor;
        this.schedule = new WakeSchedule(clock);
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
                watcher.newer().set(newestIndex > haveIndex);
            }
        });
        if (newestIndex > haveIndex) {
            scheduleRound();
        }
        return watcher.newer();
    }

    /** Completes the polls of callers whose index is below {@code index}, in the next round. */
    void wake(long index) {
        newestIndex = Math.max(newestIndex, index);
        scheduleRound();
    }

    private void scheduleRound() {
        if (roundScheduled || waiting.isEmpty()) {
            return;
        }
        long delayMillis = schedule.untilNextRoundMillis(waiting.size());
        if (delayMillis == 0) {
            startRound();
            return;
        }
        roundScheduled = true;
        reactor.delayBackground(delayMillis, () -> {
            roundScheduled = false;
            startRound();
        });
    }

    private void startRound() {
        List<Watcher> woken = new ArrayList<>();
        waiting.removeIf(watcher -> watcher.haveIndex() < newestIndex && woken.add(watcher));
        if (!woken.isEmpty()) {
            schedule.roundStarted();
            woken.forEach(watcher -> watcher.newer().set(true));
        }
    }
}
