package org.bankturn.routing;

/**
 * Keeps places for requests that are tried for the first time while there are too few for all.
 *
 * <p>Load pattern: more requests than engines bear, for long. Callers that were refused come back, and their answers are late
 * whatever happens; each place that one of them gets is missing for a first try that could still be answered in time, which
 * is then refused and comes back late as well. While first tries are refused, returning callers are therefore refused
 * sooner; where hardly any first try is, as after a shortage that has passed, they are taken on like all others.
 *
 * <p>FirstTries is mutable and not thread-safe.
 */
final class FirstTries {
    /** The share of a new observation: about the last ten first tries count. */
    private static final double LEARNING = 0.1;

    /** Where that share of the first tries is refused, returning callers get no place that another might want. */
    private static final double SHORTAGE = 0.1;

    private double refusedShare;

    static FirstTries none() {
        return new FirstTries();
    }

    private FirstTries() {}

    /** Takes in what was decided about a first try. */
    void decided(boolean refused) {
        refusedShare += LEARNING * ((refused ? 1 : 0) - refusedShare);
    }

    /** Returns how much of the usual limit holds for a caller that has come back, 0 to 1. */
    double limitShareOfReturning() {
        return Math.max(0, 1 - refusedShare / SHORTAGE);
    }
}
