package org.bankturn.routing;

import org.bankturn.service.EngineModel;

/**
 * The pace of an engine, learned from the gaps between events of the streams that one gateway has there.
 *
 * <p>Load pattern: engines that slow down for some hundred milliseconds, which their load reports show when it is almost
 * over. An engine generates the next event of every stream in each pass, so a gap shows how long its last pass took.
 *
 * <p>EnginePace is mutable and not thread-safe.
 */
final class EnginePace {
    /** The time for which a gap counts; half of the time for which engines are typically slow. */
    private static final long RETENTION_MILLIS = 300;

    /**
     * The ratio of a gap to a pass without prompts from which an engine counts as slow. Below it, a prompt of ordinary
     * size that the engine processed in the pass accounts for the gap.
     */
    private static final double SLOW_RATIO = 1.5;

    /** Exceeds any slowdown that engines recover from; limits the effect of a single stalled connection. */
    private static final double MAX_RATIO = 10;

    private final SlowdownReports reports;
    private long gapMillis;
    private long observedMillis = Long.MIN_VALUE / 2;
    private boolean slow;

    /** Returns a pace without observations, for an engine whose service has the given reports, not null. */
    static EnginePace unknown(SlowdownReports reports) {
        return new EnginePace(reports);
    }

    private EnginePace(SlowdownReports reports) {
        this.reports = reports;
    }

    // ---- queries

    /**
     * Returns the slowdown of an engine relative to its model, 1 if it is nominal. A recent gap supersedes the report
     * if the gap is shorter than the report lets expect, or if it is long and engines of the service do slow down.
     */
    double slowdown(EngineModel engine, EngineLoad reported, long nowMillis) {
        if (nowMillis - observedMillis >= RETENTION_MILLIS) {
            return reported.pace();
        }
        double observed = observedSlowdown(engine, reported);
        return shows(observed, nowMillis) ? observed : Math.min(reported.pace(), observed);
    }

    /** Returns true if a recent gap was long. */
    boolean isSlow(long nowMillis) {
        return slow && nowMillis - observedMillis < RETENTION_MILLIS;
    }

    private boolean shows(double observed, long nowMillis) {
        return observed >= SLOW_RATIO && reports.anyRecent(nowMillis);
    }

    private double observedSlowdown(EngineModel engine, EngineLoad load) {
        return Math.min(MAX_RATIO, Math.max(1, gapMillis / passMillis(engine, load)));
    }

    /** Returns the nominal duration of a pass that processes no prompts. */
    private static double passMillis(EngineModel engine, EngineLoad load) {
        int running = Math.max(1, Math.min(engine.slots(), load.active()));
        double step = engine.stepMillis()
                + running * engine.stepMillisPerRequest()
                + load.usedTokens() / 1_000.0 * engine.stepMillisPerThousandTokens();
        return engine.stepsPerPass() * step;
    }

    // ---- updates

    /**
     * Records the time between two events of a stream.
     *
     * @return true if the engine was not known to be slow and now is
     */
    boolean eventReceived(EngineModel engine, EngineLoad reported, long gap, long nowMillis) {
        boolean wasSlow = isSlow(nowMillis);
        gapMillis = gap;
        observedMillis = nowMillis;
        slow = shows(observedSlowdown(engine, reported), nowMillis);
        return slow && !wasSlow;
    }

    @Override
    public String toString() {
        return "EnginePace[" + gapMillis + " ms at " + observedMillis + "]";
    }
}
