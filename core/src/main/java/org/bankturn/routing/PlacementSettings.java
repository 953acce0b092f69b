package org.bankturn.routing;

/**
 * How a gateway decides which targets it watches and which of them takes a request.
 *
 * @param minWatchedLocal the engines of its own data hall that a gateway watches, if there are as many
 * @param watchedPerFilledEngine engines watched for each engine that the gateway's own requests would fill
 * @param minWatchersPerEngine the gateways that watch each engine of a data hall, on average
 * @param minWatchedRemote the engines of other data halls that a gateway watches, at least
 * @param minWatchedTotal the engines that a gateway watches, at least, if there are as many: a few halls of a few engines are
 *     one pool, and a gateway that misses the free ones among them refuses what could be served
 * @param sampleSize the targets that are compared for a request, drawn at random
 * @param polledBeforePlacement the engines that are asked for their load before a request is placed, 0 for none
 * @param maxFreshAgeMillis how old the news of an engine may be that is not asked again
 * @param jitter how far predictions are spread at random before they are compared, as a share
 * @param remoteHallPenaltyMillis how much sooner a target of another data hall must begin to be preferred
 * @param localObjectiveShare the share of its objective within which a request stays in its data hall, whatever others offer
 * @param avoidsInterruptions true if engines that will soon break off what they run count as later
 * @param localPollIntervalMillis the pause between two questions to an engine of the own data hall
 * @param remotePollIntervalMillis the pause between two questions to an engine of another data hall
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

    /** What gateways use; the reasons and measurements are in docs/design/09-decisions.md. */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(8, 2, 3, 4, 16, 3, 2, 150, 0.1, 12, 0.5, true, 2_000, 4_000);

    /** Every gateway watches every engine and takes the best: what was used before, kept to compare with. */
    public static final PlacementSettings WATCH_ALL = new PlacementSettings(
            Integer.MAX_VALUE, 0, 0, Integer.MAX_VALUE, 0, Integer.MAX_VALUE, 0, 0, 0.3, 12, 0, false, 120, 300);
}
