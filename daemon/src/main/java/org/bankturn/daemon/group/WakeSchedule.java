package org.bankturn.daemon.group;

import org.bankturn.time.Clock;

/**
 * Spaces the rounds in which a control process answers its watchers.
 *
 * <p>Load pattern: hundreds of processes start within seconds, as after a loss of power. Each announces itself, and each
 * announcement is a change that all of them watch for, so that the answers would grow with the square of their number.
 * An isolated change is answered at once; further ones wait for the next round.
 *
 * <p>WakeSchedule is mutable and not thread-safe.
 */
final class WakeSchedule {
    /** The interval of rounds per watcher, which bounds the answers of a process to about 250 per second. */
    private static final long INTERVAL_PER_WATCHER_MILLIS = 4;

    /** The maximum interval; a small part of the time in which a change must be in force everywhere. */
    private static final long MAX_INTERVAL_MILLIS = 300;

    private final Clock clock;
    private long lastRoundMillis = Long.MIN_VALUE / 2;

    WakeSchedule(Clock clock) {
        this.clock = clock;
    }

    /** Returns the time until the next round may start, 0 if it may start now. */
    long untilNextRoundMillis(int watchers) {
        long interval = Math.min(MAX_INTERVAL_MILLIS, INTERVAL_PER_WATCHER_MILLIS * watchers);
        return Math.max(0, lastRoundMillis + interval - clock.millis());
    }

    /** Records that a round starts. */
    void roundStarted() {
        lastRoundMillis = clock.millis();
    }
}
