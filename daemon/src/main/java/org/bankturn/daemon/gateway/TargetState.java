package org.bankturn.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.settings.Address;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.EngineLoad;

/** What one gateway knows of a target from its own requests; mutable, confined to one thread. */
final class TargetState {
    private static final int MOST_RESTING = 24;
    private static final long FIRST_AVOIDANCE_MILLIS = 500;
    private static final long MOST_AVOIDANCE_MILLIS = 4_000;
    private static final long LOAD_USABLE_MILLIS = 1_200;
    private static final double SMOOTHING = 0.2;

    private final Deque<TargetConnection> resting = new ArrayDeque<>();
    private TargetSighting sighting;
    private int inFlight;
    private long waitingPromptTokens;
    private int seenVersion;
    private int failuresInARow;
    private long avoidedUntilMillis;
    private double lateness = 1.0;
    private EngineLoad load;
    private long loadMillis;
    private long pathMillis;
    private final Deque<Long> sentMillis = new ArrayDeque<>();

    TargetState(TargetSighting sighting) {
        this.sighting = sighting;
    }

    TargetSighting sighting() {
        return sighting;
    }

    void update(TargetSighting newer) {
        sighting = newer;
    }

    Address address() {
        return Address.parse(sighting.address());
    }

    int inFlight() {
        return inFlight;
    }

    long waitingPromptTokens() {
        return waitingPromptTokens;
    }

    /** Returns how much longer its first events take than predicted, smoothed; 1 is as predicted. */
    double lateness() {
        return lateness;
    }

    int heldVersion() {
        return Math.max(sighting.heldVersion(), seenVersion);
    }

    void sawVersion(int version) {
        seenVersion = Math.max(seenVersion, version);
    }

    void begin(int promptTokens, long nowMillis) {
        inFlight++;
        sentMillis.addLast(nowMillis);
        waitingPromptTokens += promptTokens;
    }

    /** Takes in what the engine said of its load at a moment. */
    void reported(EngineLoad newer, long atMillis) {
        load = newer;
        loadMillis = atMillis;
        while (!sentMillis.isEmpty() && sentMillis.peekFirst() <= atMillis) {
            sentMillis.pollFirst();
        }
    }

    /** Returns what the engine said of its load lately, null if it did not. */
    EngineLoad load(long nowMillis) {
        return nowMillis - loadMillis < LOAD_USABLE_MILLIS ? load : null;
    }

    /** Returns true if the engine said lately that it takes nothing new. */
    boolean isChanging(long nowMillis) {
        EngineLoad lately = load(nowMillis);
        return lately != null && lately.changing();
    }

    /** Takes in how long the process beside the engine took to answer. */
    void pathTook(long millis) {
        pathMillis = millis;
    }

    /** Returns how long the way there and back took last. */
    long pathMillis() {
        return pathMillis;
    }

    /** Returns the requests that were sent since the engine last told its load. */
    int sentSinceLoad() {
        return sentMillis.size();
    }

    void promptRead(int promptTokens) {
        waitingPromptTokens -= promptTokens;
    }

    void end() {
        inFlight--;
    }

    void succeeded(double tookAgainstPredicted) {
        failuresInARow = 0;
        avoidedUntilMillis = 0;
        lateness += SMOOTHING * (Math.min(10, tookAgainstPredicted) - lateness);
    }

    /** Avoids the target for a while that grows with each failure in a row, and returns how long. */
    long failed(long nowMillis) {
        failuresInARow++;
        long avoidance = Math.min(MOST_AVOIDANCE_MILLIS, FIRST_AVOIDANCE_MILLIS << Math.min(4, failuresInARow - 1));
        avoidedUntilMillis = nowMillis + avoidance;
        return avoidance;
    }

    /** Avoids the target for a short while because it is full. */
    void full(long nowMillis, long forMillis) {
        avoidedUntilMillis = Math.max(avoidedUntilMillis, nowMillis + forMillis);
    }

    int failuresInARow() {
        return failuresInARow;
    }

    boolean isAvoided(long nowMillis) {
        return nowMillis < avoidedUntilMillis;
    }

    // ---- connections

    /** Takes a connection that rested no longer than that, null if there is none. */
    TargetConnection takeResting(long nowMillis, long mostRestMillis) {
        while (!resting.isEmpty()) {
            TargetConnection connection = resting.pollLast();
            if (!connection.isUsable()) {
                connection.close();
                continue;
            }
            if (nowMillis - connection.restingSince() <= mostRestMillis) {
                return connection;
            }
            resting.addLast(connection);
            return null;
        }
        return null;
    }

    void rest(TargetConnection connection) {
        if (!connection.isUsable()) {
            connection.close();
            return;
        }
        resting.addLast(connection);
        if (resting.size() > MOST_RESTING) {
            resting.pollFirst().close();
        }
    }

    void closeResting() {
        resting.forEach(TargetConnection::close);
        resting.clear();
    }
}
