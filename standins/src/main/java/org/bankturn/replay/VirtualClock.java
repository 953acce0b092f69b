package org.bankturn.replay;

import java.util.PriorityQueue;
import org.bankturn.time.Clock;

/**
 * Time that moves from one thing that happens to the next.
 *
 * <p>Things that happen at the same moment happen in the order in which they were asked for, so that a replay repeats.
 * VirtualClock is mutable and not thread-safe.
 */
final class VirtualClock implements Clock {
    private final PriorityQueue<Planned> planned = new PriorityQueue<>();
    private double now;
    private long sequence;

    private record Planned(double atMillis, long sequence, Runnable action) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            int byTime = Double.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    /** Returns the time, in milliseconds from the start, as exactly as it is known. */
    double now() {
        return now;
    }

    @Override
    public long millis() {
        return (long) now;
    }

    /** Does something later; a delay of 0 or less means after what is planned for now. */
    void schedule(double delayMillis, Runnable action) {
        planned.add(new Planned(now + Math.max(0, delayMillis), sequence++, action));
    }

    /** Lets everything happen up to that moment. */
    void runUntil(double endMillis) {
        while (!planned.isEmpty() && planned.peek().atMillis() <= endMillis) {
            Planned next = planned.poll();
            now = next.atMillis();
            next.action().run();
        }
        now = endMillis;
    }
}
