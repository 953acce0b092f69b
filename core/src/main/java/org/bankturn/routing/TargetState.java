package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.EngineModel;

/**
 * The state of a target as known to one gateway: its registration, its engine's load reports, and the results of the
 * gateway's own requests.
 *
 * <p>TargetState is mutable and not thread-safe.
 */
public final class TargetState {
    /** The avoidance time after a first failure; about the time until a crash is detected by silence. */
    private static final long INITIAL_AVOIDANCE_MILLIS = 500;

    /** The maximum avoidance time. */
    private static final long MAX_AVOIDANCE_MILLIS = 4_000;

    /** The avoidance time of a full target; about one pass of a busy engine. */
    private static final long FULL_AVOIDANCE_MILLIS = 100;

    /** The time after which a load report is discarded. */
    private static final long LOAD_TTL_MILLIS = 1_200;

    /**
     * The time for which a target counts as active after it responded to any request; busy engines respond to each one
     * within 100 to 400 ms.
     */
    private static final long ACTIVITY_WINDOW_MILLIS = 600;

    /** The baseline for the latency ratio of plain services. */
    private static final double PLAIN_SERVICE_BASELINE_MILLIS = 100;

    /** The lower bound on predictions in the latency ratio. */
    private static final double MIN_PREDICTED_MILLIS = 50;

    /** The weight of a new observation in the latency ratio. */
    private static final double SMOOTHING = 0.2;

    /** The failures after which a target that responds again may have been restarted; one can be due to a connection. */
    private static final int FAILURES_OF_RESTART = 2;

    /** The upper bound on an observation, which limits the effect of outliers. */
    private static final double MAX_LATENCY_RATIO = 10;

    private TargetSighting sighting;
    private int inFlight;
    private boolean evacuated;
    private long pendingPromptTokens;
    private int observedVersion;
    private int consecutiveFailures;
    private long avoidedUntilMillis;
    private double latencyRatio = 1.0;
    private EngineLoad load;
    private long loadMillis;
    private long interruptionMillis = Long.MIN_VALUE / 2;
    private long roundTripMillis;
    private final ReceiveTimes received = ReceiveTimes.retaining(ACTIVITY_WINDOW_MILLIS);
    private long pollAnsweredMillis = Long.MIN_VALUE / 2;
    private final Deque<Long> sentMillis = new ArrayDeque<>();
    private final Deque<Long> endedMillis = new ArrayDeque<>();
    private final TargetFlowControl flowControl;
    private final SlowdownReports slowdownReports;
    private final EnginePace pace;

    TargetState(TargetSighting sighting, TargetFlowControl flowControl, SlowdownReports slowdownReports) {
        this.slowdownReports = slowdownReports;
        this.pace = EnginePace.unknown(slowdownReports);
        this.sighting = sighting;
        this.flowControl = flowControl;
        flowControl.cold().registered(sighting);
    }

    // ---- queries

    /** Returns the latest registration of the target, not null. */
    public TargetSighting sighting() {
        return sighting;
    }

    /** Returns the number of the gateway's own requests in flight. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens of the gateway's own requests that are not processed yet. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns the smoothed ratio of actual to predicted time to the first event. */
    public double latencyRatio() {
        return latencyRatio;
    }

    /** Returns the newest version of the weights that the target is known to hold. */
    public int heldVersion() {
        return Math.max(sighting.heldVersion(), observedVersion);
    }

    /** Returns the latest load report, null if there is no recent one. */
    public EngineLoad load(long nowMillis) {
        return nowMillis - loadMillis < LOAD_TTL_MILLIS ? load : null;
    }

    /** Returns the load to assume for an engine: the latest report, at the pace that its events show, not null. */
    EngineLoad assumedLoad(EngineModel engine, long nowMillis) {
        EngineLoad reported = reportedLoad(nowMillis);
        return reported.withPace(pace.slowdown(engine, reported, nowMillis));
    }

    private EngineLoad reportedLoad(long nowMillis) {
        EngineLoad recent = load(nowMillis);
        return recent == null ? EngineLoad.NONE : recent;
    }

    /** Returns true if the engine's events recently arrived slowly. */
    public boolean isSlow(long nowMillis) {
        return pace.isSlow(nowMillis);
    }

    /** Returns true if the engine recently reported that it is changing weights. */
    public boolean isChangingWeights(long nowMillis) {
        EngineLoad recent = load(nowMillis);
        return recent != null && recent.changing();
    }

    /** Returns true if the target does not start requests at the moment, but is likely to do so again soon. */
    boolean isBrieflyUnavailable(long nowMillis) {
        boolean full = isAvoided(nowMillis) && consecutiveFailures == 0;
        return full || isChangingWeights(nowMillis);
    }

    /** Returns the time until the engine interrupts running requests, 0 or less if none is ahead. */
    public long untilInterruptionMillis(long nowMillis) {
        return interruptionMillis - nowMillis;
    }

    /** Returns the last measured round-trip time. */
    public long roundTripMillis() {
        return roundTripMillis;
    }

    /** Returns the number of the gateway's own requests sent since the last load report. */
    public int sentSinceLoad() {
        return sentMillis.size();
    }

    /** Returns the number of the gateway's own requests that the last load report includes and that ended since. */
    public int endedSinceLoad() {
        return endedMillis.size();
    }

    /** Returns the age of the last load report. */
    public long loadAgeMillis(long nowMillis) {
        return load == null ? Long.MAX_VALUE : nowMillis - loadMillis;
    }

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns true if the target is avoided because it failed or was full. */
    public boolean isAvoided(long nowMillis) {
        return nowMillis < avoidedUntilMillis;
    }

    /**
     * Returns true if the target recently sent response data for any request on a connection that was open at the given
     * time. Data on connections opened later says nothing about a connection that has been silent since.
     *
     * @param nowMillis the current time
     * @param openAtMillis the time at which the connection was open
     */
    public boolean hasRecentActivity(long nowMillis, long openAtMillis) {
        return received.anyOnConnectionOpenAt(openAtMillis, nowMillis);
    }

    /** Returns the rate limit for all gateways together, not null. */
    public RateLimit rateLimit() {
        return flowControl.limit();
    }

    /** Returns the flow control state for this gateway, not null. */
    TargetFlowControl flowControl() {
        return flowControl;
    }

    /** Returns the reason why the target is held back, empty if it is not, not null. */
    public Optional<HoldReason> heldBack(long nowMillis) {
        return evacuated ? Optional.of(HoldReason.EVACUATED) : flowControl.heldBack(nowMillis);
    }

    /** Returns the time until a held-back target is released, as far as known; Long.MAX_VALUE for never. */
    long untilReleaseMillis(long nowMillis) {
        return evacuated ? Long.MAX_VALUE : flowControl.untilReleaseMillis(nowMillis);
    }

    /** Returns true if a permit may become available within a time: one is held for later or pending. */
    boolean mayGetPermitWithin(long millis, long nowMillis) {
        return !evacuated && flowControl.mayGetPermitWithin(millis, nowMillis);
    }

    /** Returns the time until the held permit becomes valid, 0 if none is held. */
    public long untilPermitUsableMillis(long nowMillis) {
        return flowControl.untilPermitUsableMillis(nowMillis);
    }

    /** Returns true if a permit request is pending. */
    public boolean isPermitPending() {
        return flowControl.isPermitPending();
    }

    /** Returns true if a permit should be requested. */
    boolean needsPermit(long nowMillis) {
        return !evacuated && flowControl.needsPermit(nowMillis);
    }

    // ---- updates

    /**
     * Applies the flow control information of a response.
     *
     * @param notice the information, not null
     * @param executed true if the target executed the request
     * @param sentMillis when the request was sent
     * @param nowMillis the current time
     * @return the changes, not null
     */
    public Set<NoticeChange> applyNotice(TargetNotice notice, boolean executed, long sentMillis, long nowMillis) {
        return flowControl.applyNotice(notice, executed, sentMillis, nowMillis);
    }

    /**
     * Acquires the right to send a request, using up a permit if one is needed.
     *
     * @return the reason why the request must not be sent, empty if it may be; not null
     */
    public Optional<HoldReason> acquire(long nowMillis) {
        return evacuated ? Optional.of(HoldReason.EVACUATED) : flowControl.acquire(nowMillis);
    }

    /** Records that a permit is requested. */
    public void permitRequested() {
        flowControl.permitRequested();
    }

    /**
     * Applies the answer of the permit coordinator.
     *
     * @param answer the answer, its limit in this gateway's time, not null
     * @param requestedMillis when the permit was requested
     * @param nowMillis the current time
     */
    public void permitAnswered(PermitCoordinator.Answer answer, long requestedMillis, long nowMillis) {
        flowControl.permitAnswered(answer, requestedMillis, nowMillis);
    }

    /** Records that the permit coordinator did not answer. */
    public void permitUnanswered(long nowMillis) {
        flowControl.permitUnanswered(nowMillis);
    }

    /** Sets whether the target's data hall is evacuated, so that it gets no requests. */
    void setEvacuated(boolean evacuated) {
        this.evacuated = evacuated;
    }

    void update(TargetSighting newer) {
        sighting = newer;
        flowControl.cold().registered(newer);
    }

    /** Records the version that served a response. */
    public void versionObserved(int version) {
        observedVersion = Math.max(observedVersion, version);
    }

    /** Records that a request is being sent. */
    public void requestStarted(int promptTokens, long nowMillis) {
        inFlight++;
        sentMillis.addLast(nowMillis);
        pendingPromptTokens += promptTokens;
    }

    /** Records that a request's prompt was processed or never will be. */
    public void promptRead(int promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /**
     * Records the end of a request.
     *
     * @param sentAtMillis when it was sent
     * @param nowMillis the current time
     */
    public void requestEnded(long sentAtMillis, long nowMillis) {
        inFlight--;
        boolean counted = !sentMillis.removeFirstOccurrence(sentAtMillis);
        if (counted) {
            endedMillis.addLast(nowMillis);
        }
    }

    /** Applies a load report. */
    void loadReported(EngineLoad newer, long atMillis) {
        load = newer;
        slowdownReports.reported(newer.pace(), atMillis);
        loadMillis = atMillis;
        removeUntil(sentMillis, atMillis);
        removeUntil(endedMillis, atMillis);
    }

    private static void removeUntil(Deque<Long> times, long millis) {
        while (!times.isEmpty() && times.peekFirst() <= millis) {
            times.pollFirst();
        }
    }

    /** Records when the engine will interrupt running requests. */
    void interruptionAnnounced(long millis) {
        interruptionMillis = millis;
    }

    /** Records that a load poll was answered. */
    void pollAnswered(long nowMillis) {
        pollAnsweredMillis = nowMillis;
    }

    /** Returns true if a load poll was answered after the given time. */
    boolean hasAnsweredPollSince(long millis) {
        return pollAnsweredMillis >= millis;
    }

    /** Records the round-trip time of a load poll. */
    void roundTripMeasured(long millis) {
        roundTripMillis = millis;
    }

    /**
     * Records that the target sent response data.
     *
     * @param nowMillis the current time
     * @param openedMillis when the connection was opened
     */
    public void dataReceived(long nowMillis, long openedMillis) {
        received.record(openedMillis, nowMillis);
    }

    /**
     * Records an event of a stream other than the first.
     *
     * @param engine the model of the engine, not null
     * @param gapMillis the time since the previous event of the stream
     * @param nowMillis the current time
     * @return true if the engine was not known to be slow and now is
     */
    public boolean eventReceived(EngineModel engine, long gapMillis, long nowMillis) {
        return pace.eventReceived(engine, reportedLoad(nowMillis), gapMillis, nowMillis);
    }

    /** Records the first event of an engine and the time it took. */
    public void firstEventReceived(double predictedMillis, long tookMillis) {
        recordSuccess(tookMillis / Math.max(MIN_PREDICTED_MILLIS, predictedMillis));
    }

    /** Records the response of a plain service and the time it took. */
    public void responseReceived(long tookMillis) {
        recordSuccess(tookMillis / PLAIN_SERVICE_BASELINE_MILLIS);
    }

    private void recordSuccess(double ratio) {
        if (consecutiveFailures >= FAILURES_OF_RESTART) {
            flowControl.cold().assumeCold(ColdCause.RETURNED);
        }
        consecutiveFailures = 0;
        avoidedUntilMillis = 0;
        latencyRatio += SMOOTHING * (Math.min(MAX_LATENCY_RATIO, ratio) - latencyRatio);
    }

    /** Avoids the target for a time that doubles with each consecutive failure, and returns that time. */
    public long requestFailed(long nowMillis) {
        consecutiveFailures++;
        long avoidance =
                Math.min(MAX_AVOIDANCE_MILLIS, INITIAL_AVOIDANCE_MILLIS << Math.min(4, consecutiveFailures - 1));
        avoidedUntilMillis = nowMillis + avoidance;
        return avoidance;
    }

    /** Avoids the target briefly because it is full. */
    public void markFull(long nowMillis) {
        avoidedUntilMillis = Math.max(avoidedUntilMillis, nowMillis + FULL_AVOIDANCE_MILLIS);
    }

    @Override
    public String toString() {
        return "TargetState[" + sighting.id() + ", " + inFlight + " under way]";
    }
}
