package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;
import org.bankturn.registry.TargetSighting;

/**
 * What one gateway knows of a target: what the target said of itself, what its engine said of its load, and what came of the
 * gateway's own requests.
 *
 * <p>TargetState is mutable and not thread-safe.
 */
public final class TargetState {
    /** A target that failed once is avoided for about as long as a crashed one needs to be noticed by its silence. */
    private static final long INITIAL_AVOIDANCE_MILLIS = 500;

    /** A target that comes and goes is tried again at least that often. */
    private static final long MAX_AVOIDANCE_MILLIS = 4_000;

    /** A target that was full has read a prompt or two by then: one pass of a busy engine. */
    private static final long FULL_AVOIDANCE_MILLIS = 100;

    /** What an engine said is of use until about that long after; answers of the usual length have ended by then. */
    private static final long LOAD_TTL_MILLIS = 1_200;

    /** A target that answered any request within that long is at work: busy engines answer each in 0.1 to 0.4 s. */
    private static final long ACTIVITY_WINDOW_MILLIS = 600;

    /** What an answer of a plain service is measured against; only the comparison of targets matters. */
    private static final double PLAIN_SERVICE_BASELINE_MILLIS = 100;

    /** Predictions below that count as that: a few milliseconds more say nothing of an engine. */
    private static final double MIN_PREDICTED_MILLIS = 50;

    /** The share of a new observation in the lateness: about the last five count. */
    private static final double SMOOTHING = 0.2;

    /** Observations beyond that count as that: one very late answer says little of the next. */
    private static final double MAX_LATENCY_RATIO = 10;

    private TargetSighting sighting;
    private int inFlight;
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

    TargetState(TargetSighting sighting, TargetFlowControl flowControl) {
        this.sighting = sighting;
        this.flowControl = flowControl;
    }

    // ---- queries

    /** Returns what the target said of itself last, not null. */
    public TargetSighting sighting() {
        return sighting;
    }

    /** Returns the gateway's own requests under way there. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns the prompt tokens of the gateway's own requests that are not read yet. */
    public long pendingPromptTokens() {
        return pendingPromptTokens;
    }

    /** Returns how much longer its first events take than predicted, smoothed; 1 is as predicted. */
    public double latencyRatio() {
        return latencyRatio;
    }

    /** Returns the newest version of the weights that it is known to hold. */
    public int heldVersion() {
        return Math.max(sighting.heldVersion(), observedVersion);
    }

    /** Returns what the engine said of its load lately, null if it did not. */
    public EngineLoad load(long nowMillis) {
        return nowMillis - loadMillis < LOAD_TTL_MILLIS ? load : null;
    }

    /** Returns true if the engine said lately that it takes nothing new. */
    public boolean isChangingWeights(long nowMillis) {
        EngineLoad recent = load(nowMillis);
        return recent != null && recent.changing();
    }

    /** Returns how long until the engine breaks off what it runs, 0 or less if it did or is not known to. */
    public long untilInterruptionMillis(long nowMillis) {
        return interruptionMillis - nowMillis;
    }

    /** Returns how long the way there and back took last. */
    public long roundTripMillis() {
        return roundTripMillis;
    }

    /** Returns the gateway's own requests that were sent since the engine last told its load. */
    public int sentSinceLoad() {
        return sentMillis.size();
    }

    /** Returns the gateway's own requests that have ended since the engine last told its load, and counted in it. */
    public int endedSinceLoad() {
        return endedMillis.size();
    }

    /** Returns how old the news of the engine's load is. */
    public long loadAgeMillis(long nowMillis) {
        return load == null ? Long.MAX_VALUE : nowMillis - loadMillis;
    }

    /** Returns the failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns true if the target should get nothing now, because it failed or was full. */
    public boolean isAvoided(long nowMillis) {
        return nowMillis < avoidedUntilMillis;
    }

    /**
     * Returns true if the target sent a part of an answer of late, to whichever request, on a connection that was open at a
     * moment. Words on connections that were opened after it tell nothing of one that was silent since.
     *
     * @param nowMillis the time
     * @param openAtMillis the moment
     */
    public boolean hasRecentActivity(long nowMillis, long openAtMillis) {
        return received.anyOnConnectionOpenAt(openAtMillis, nowMillis);
    }

    /** Returns what is known of the requests a second that it takes from all gateways together, not null. */
    public RateLimit rateLimit() {
        return flowControl.limit();
    }

    /** Returns what the target asks of this gateway, not null. */
    TargetFlowControl flowControl() {
        return flowControl;
    }

    /** Returns why the target must get no request from this gateway now, empty if it may, not null. */
    public Optional<HoldReason> heldBack(long nowMillis) {
        return flowControl.heldBack(nowMillis);
    }

    /** Returns how long until a target that is held back may get a request, as far as is known. */
    long untilReleaseMillis(long nowMillis) {
        return flowControl.untilReleaseMillis(nowMillis);
    }

    /** Returns true if a permit may be there within a time: one is held for later, or is being asked for. */
    boolean mayGetPermitWithin(long millis, long nowMillis) {
        return flowControl.mayGetPermitWithin(millis, nowMillis);
    }

    /** Returns how long until the permit that is held may be used, 0 if none is held. */
    public long untilPermitUsableMillis(long nowMillis) {
        return flowControl.untilPermitUsableMillis(nowMillis);
    }

    /** Returns true if a permit is being asked for. */
    public boolean isPermitPending() {
        return flowControl.isPermitPending();
    }

    /** Returns true if a permit should be asked for, because a request could use one. */
    boolean needsPermit(long nowMillis) {
        return flowControl.needsPermit(nowMillis);
    }

    // ---- what is learned

    /**
     * Takes in what an answer asks of callers.
     *
     * @param notice what it asks for, not null
     * @param executed true if the target ran the request
     * @param sentMillis when the request was sent
     * @param nowMillis the time
     * @return what is new in it, not null
     */
    public Set<NoticeChange> applyNotice(TargetNotice notice, boolean executed, long sentMillis, long nowMillis) {
        return flowControl.applyNotice(notice, executed, sentMillis, nowMillis);
    }

    /**
     * A request is about to leave for the target: the last moment at which what it asks for can be kept.
     *
     * @return why the request must not be sent, empty if it may, and then a permit is used; not null
     */
    public Optional<HoldReason> acquire(long nowMillis) {
        return flowControl.acquire(nowMillis);
    }

    /** A permit for the target is being asked for. */
    public void permitRequested() {
        flowControl.permitRequested();
    }

    /**
     * Takes in what the coordinator of the target's permits answered.
     *
     * @param answer the answer, its limit as of this gateway's time, not null
     * @param requestedMillis when it was asked
     * @param nowMillis the time
     */
    public void permitAnswered(PermitCoordinator.Answer answer, long requestedMillis, long nowMillis) {
        flowControl.permitAnswered(answer, requestedMillis, nowMillis);
    }

    /** The coordinator of the target's permits did not answer. */
    public void permitUnanswered(long nowMillis) {
        flowControl.permitUnanswered(nowMillis);
    }

    void update(TargetSighting newer) {
        sighting = newer;
    }

    /** Takes in the version that an answer was made with. */
    public void versionObserved(int version) {
        observedVersion = Math.max(observedVersion, version);
    }

    /** A request is on its way there. */
    public void requestStarted(int promptTokens, long nowMillis) {
        inFlight++;
        sentMillis.addLast(nowMillis);
        pendingPromptTokens += promptTokens;
    }

    /** The engine has read a request's prompt, or never will. */
    public void promptRead(int promptTokens) {
        pendingPromptTokens -= promptTokens;
    }

    /**
     * A request is no longer under way there.
     *
     * @param sentAtMillis when it was sent
     * @param nowMillis the time
     */
    public void requestEnded(long sentAtMillis, long nowMillis) {
        inFlight--;
        boolean counted = !sentMillis.removeFirstOccurrence(sentAtMillis);
        if (counted) {
            endedMillis.addLast(nowMillis);
        }
    }

    /** Takes in what the engine said of its load at a moment. */
    void loadReported(EngineLoad newer, long atMillis) {
        load = newer;
        loadMillis = atMillis;
        removeUntil(sentMillis, atMillis);
        removeUntil(endedMillis, atMillis);
    }

    private static void removeUntil(Deque<Long> times, long millis) {
        while (!times.isEmpty() && times.peekFirst() <= millis) {
            times.pollFirst();
        }
    }

    /** The process beside the engine said when the engine will break off what it runs. */
    void interruptionAnnounced(long millis) {
        interruptionMillis = millis;
    }

    /** The process beside the engine answered a question. */
    void pollAnswered(long nowMillis) {
        pollAnsweredMillis = nowMillis;
    }

    /** Returns true if the process beside the engine answered a question after that moment. */
    boolean hasAnsweredPollSince(long millis) {
        return pollAnsweredMillis >= millis;
    }

    /** Takes in how long the process beside the engine took to answer. */
    void roundTripMeasured(long millis) {
        roundTripMillis = millis;
    }

    /**
     * The target sent a part of an answer.
     *
     * @param nowMillis the time
     * @param openedMillis when the connection was opened that it came on
     */
    public void dataReceived(long nowMillis, long openedMillis) {
        received.record(openedMillis, nowMillis);
    }

    /** An engine's first event came, that long after the request was sent. */
    public void firstEventReceived(double predictedMillis, long tookMillis) {
        recordSuccess(tookMillis / Math.max(MIN_PREDICTED_MILLIS, predictedMillis));
    }

    /** A plain service answered, that long after the request was sent. */
    public void responseReceived(long tookMillis) {
        recordSuccess(tookMillis / PLAIN_SERVICE_BASELINE_MILLIS);
    }

    private void recordSuccess(double ratio) {
        consecutiveFailures = 0;
        avoidedUntilMillis = 0;
        latencyRatio += SMOOTHING * (Math.min(MAX_LATENCY_RATIO, ratio) - latencyRatio);
    }

    /** Avoids the target for a while that doubles with each failure in a row, and returns how long. */
    public long requestFailed(long nowMillis) {
        consecutiveFailures++;
        long avoidance =
                Math.min(MAX_AVOIDANCE_MILLIS, INITIAL_AVOIDANCE_MILLIS << Math.min(4, consecutiveFailures - 1));
        avoidedUntilMillis = nowMillis + avoidance;
        return avoidance;
    }

    /** Avoids the target for a moment because it is full. */
    public void markFull(long nowMillis) {
        avoidedUntilMillis = Math.max(avoidedUntilMillis, nowMillis + FULL_AVOIDANCE_MILLIS);
    }

    @Override
    public String toString() {
        return "TargetState[" + sighting.id() + ", " + inFlight + " under way]";
    }
}
