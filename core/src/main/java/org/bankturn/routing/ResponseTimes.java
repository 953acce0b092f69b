package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * The usual time from the receipt of a route's requests to the end of their responses.
 *
 * <p>Load pattern: some requests of a route take much longer than others. One that may not be repeated is worth starting only
 * if there is time for a slow one, too. ResponseTimes is mutable and not thread-safe.
 */
public final class ResponseTimes {
    private static final double MEAN_WEIGHT = 1.0 / 8;
    private static final double DEVIATION_WEIGHT = 1.0 / 4;

    /** Few responses take longer than the mean and this many mean deviations. */
    private static final int SLOW_DEVIATIONS = 4;

    private final Map<String, Estimate> estimates = new HashMap<>();

    private record Estimate(double meanMillis, double deviationMillis) {
        private Estimate with(long millis) {
            double difference = millis - meanMillis;
            return new Estimate(
                    meanMillis + MEAN_WEIGHT * difference,
                    deviationMillis + DEVIATION_WEIGHT * (Math.abs(difference) - deviationMillis));
        }
    }

    private ResponseTimes() {}

    /** Returns times without any response, not null. */
    public static ResponseTimes none() {
        return new ResponseTimes();
    }

    /** Records the time that a response took. */
    public void record(String route, long millis) {
        estimates.merge(route, new Estimate(millis, millis / 2.0), (earlier, first) -> earlier.with(millis));
    }

    /** Forgets all routes but the given ones. */
    public void retain(Set<String> routes) {
        estimates.keySet().retainAll(routes);
    }

    /**
     * Returns the time within which a request is expected to be answered. Without any response of its route, one that may be
     * repeated is expected to be quick, and any other to take for ever.
     *
     * @param route the name of its route, not null
     * @param repeatable true for the mean time, false for the time of a slow request
     */
    public long expectedMillis(String route, boolean repeatable) {
        Estimate estimate = estimates.get(route);
        if (estimate == null) {
            return repeatable ? 0 : Long.MAX_VALUE;
        }
        double margin = repeatable ? 0 : SLOW_DEVIATIONS * estimate.deviationMillis();
        return Math.round(estimate.meanMillis() + margin);
    }
}
