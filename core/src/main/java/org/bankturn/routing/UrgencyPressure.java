package org.bankturn.routing;

import java.util.Arrays;
import org.bankturn.time.Clock;

/**
 * Tells how far less urgent requests of a service must make room for more urgent ones.
 *
 * <p>Load pattern: requests of several priorities compete for too little capacity. Each priority keeps a moving share of
 * its first attempts that were rejected. Less urgent requests get a lower admission limit while a more urgent priority
 * is rejected; the limit rises again as more urgent requests are admitted, or as time passes without any.
 *
 * <p>UrgencyPressure is mutable and not thread-safe.
 */
final class UrgencyPressure {
    /** The weight of a new observation; a gateway then follows a shortage within about ten requests of a priority. */
    private static final double SMOOTHING = 0.1;

    /**
     * The rejected share at which less urgent requests are no longer admitted. Lower values reject more of the middle
     * priorities than they gain for the highest one, higher values reject too many urgent requests first.
     */
    private static final double FULL_PRESSURE = 0.3;

    /** The time in which a share halves while no request of the priority arrives; callers retry within it. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    private final Clock clock;
    private final double[] rejectedShare = new double[RequestProgress.LOWEST_PRIORITY + 1];
    private final long[] updatedMillis = new long[RequestProgress.LOWEST_PRIORITY + 1];

    static UrgencyPressure none(Clock clock) {
        return new UrgencyPressure(clock);
    }

    private UrgencyPressure(Clock clock) {
        this.clock = clock;
    }

    /** Records the admission decision on a first attempt. */
    void recordDecision(int priority, boolean rejected) {
        double share = share(priority);
        rejectedShare[priority] = share + SMOOTHING * ((rejected ? 1 : 0) - share);
        updatedMillis[priority] = clock.millis();
    }

    /** Resets the state because no target was available, whatever the urgency. */
    void reset() {
        Arrays.fill(rejectedShare, 0);
    }

    /** Returns the factor, 0 to 1, by which the admission limit of a priority is reduced. */
    double limitFactor(int priority) {
        double highest = 0;
        for (int moreUrgent = 0; moreUrgent < priority; moreUrgent++) {
            highest = Math.max(highest, share(moreUrgent));
        }
        return Math.max(0, 1 - highest / FULL_PRESSURE);
    }

    private double share(int priority) {
        double age = (double) (clock.millis() - updatedMillis[priority]);
        return rejectedShare[priority] * Math.pow(0.5, age / HALF_LIFE_MILLIS);
    }
}
