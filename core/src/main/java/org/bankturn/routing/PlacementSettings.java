package org.bankturn.routing;

/**
 * Settings for watching targets and placing requests.
 *
 * @param minWatchedLocal the minimum number of watched engines in the own data hall
 * @param watchedPerFilledEngine the watched engines for each engine that the gateway's own requests would fill
 * @param minWatchersPerEngine the average number of gateways that watch an engine of a data hall
 * @param minWatchedRemote the minimum number of watched engines in other data halls
 * @param minWatchedTotal the minimum number of watched engines; a small deployment is one pool
 * @param sampleSize the number of randomly sampled targets compared for a request
 * @param polledBeforePlacement the number of engines polled before a request is placed, 0 for none
 * @param maxFreshAgeMillis the maximum age of a load report that makes another poll unnecessary
 * @param jitter the random jitter of predictions when they are compared, as a share
 * @param remoteHallPenaltyMillis how much earlier a remote target must start a request to be preferred
 * @param localObjectiveShare the share of the objective within which a request stays in its data hall
 * @param avoidsInterruptions true if the cost of interruptions is taken into account
 * @param localPollIntervalMillis the poll interval for engines of the own data hall
 * @param remotePollIntervalMillis the poll interval for engines of other data halls
 */
public record PlacementSettings(
        int minWatchedLocal,
        double watchedPerFilledEngine,
        double minWatchersPerEngine,
        int minWatchedRemote,
        int minWatchedTotal,
        int sampleSize,
        int polledBeforePlacement,
        long maxFreshAgeMillis,
        double jitter,
        double remoteHallPenaltyMillis,
        double localObjectiveShare,
        boolean avoidsInterruptions,
        long localPollIntervalMillis,
        long remotePollIntervalMillis) {

    /** The default settings, explained in docs/design/09-decisions.md. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(8, 2, 3, 4, 16, 3, 2, 150, 0.1, 12, 0.5, true, 2_000, 4_000);

    /** Watches all engines and selects the best; a baseline for comparison. */
    public static final PlacementSettings WATCH_ALL = new PlacementSettings(
            Integer.MAX_VALUE, 0, 0, Integer.MAX_VALUE, 0, Integer.MAX_VALUE, 0, 0, 0.3, 12, 0, false, 120, 300);
}
