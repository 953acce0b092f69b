package org.bankturn.routing;

import org.bankturn.service.EngineModel;

/**
 * Computes the cost of sending a request to an engine that will soon interrupt its running requests.
 *
 * <p>Load pattern: engines reload weights one after another and interrupt the requests in progress, whose prompts are
 * then processed again elsewhere and may be interrupted a second time. The cost makes an engine less attractive the
 * more likely it is to interrupt the answer; it is bounded so that the remaining engines are not overloaded.
 *
 * <p>InterruptionCost has no state.
 */
public final class InterruptionCost {
    /**
     * The cost of an interruption, as a multiple of the objective. A higher cost interrupts fewer requests, but then fewer
     * are in time in the worst second of a rolling change, since the remaining engines get too many.
     */
    private static final double OBJECTIVES_PER_INTERRUPTION = 0.5;

    private InterruptionCost() {}

    /**
     * Returns the expected cost of an interruption.
     *
     * @param engine the performance model of the engine, not null
     * @param untilInterruptionMillis the time until the interruption, 0 or less if there is none ahead
     * @param predictedMillis the predicted time to the first event
     * @param objectiveMillis the objective for the first event
     * @return the cost in milliseconds
     */
    public static double millis(
            EngineModel engine, long untilInterruptionMillis, double predictedMillis, long objectiveMillis) {
        return probability(engine, untilInterruptionMillis, predictedMillis)
                * OBJECTIVES_PER_INTERRUPTION
                * objectiveMillis;
    }

    /**
     * Returns the probability that a request that is sent now is interrupted.
     *
     * @param engine the performance model of the engine, not null
     * @param untilInterruptionMillis the time until the interruption, 0 or less if there is none ahead
     * @param predictedMillis the predicted time to the first event
     */
    public static double probability(EngineModel engine, long untilInterruptionMillis, double predictedMillis) {
        if (untilInterruptionMillis <= 0) {
            return 0;
        }
        double generationMillis = Math.max(0, untilInterruptionMillis - predictedMillis);
        return Math.exp(-generationMillis / engine.meanAnswerMillis());
    }
}
