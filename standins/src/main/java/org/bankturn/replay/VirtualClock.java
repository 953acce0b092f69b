package org.bankturn.replay;

import java.util.PriorityQueue;
import org.bankturn.time.Clock;

/**
 * A discrete-event scheduler whose clock advances from one scheduled action to the next.
 *
 * <p>Actions for the same time run in the order in which they were scheduled, so that replays are reproducible.
 * VirtualClock is mutable and not thread-safe.
 */
final class VirtualClock implements Clock {
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
    private double now;
    private long sequence;

    private record ScheduledAction(double atMillis, long sequence, Runnable action)
            implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the time in milliseconds from the start, with fractions. */
    double now() {
        return now;
    }

    @Override
    public long millis() {
        return (long) now;
    }

    /** Schedules an action; with a delay of 0 or less it runs after the actions already scheduled for now. */
    void schedule(double delayMillis, Runnable action) {
        queue.add(new ScheduledAction(now + Math.max(0, delayMillis), sequence++, action));
    }

    /** Runs all actions up to the given time. */
    void runUntil(double endMillis) {
        while (!queue.isEmpty() && queue.peek().atMillis() <= endMillis) {
            ScheduledAction next = queue.poll();
            now = next.atMillis();
            next.action().run();
        }
        now = endMillis;
    }
}
