package org.bankturn.routing;

/**
 * Learns the mean error of first-event predictions, in milliseconds.
 *
 * <p>A gateway sees only part of the load, so its predictions are too low while other gateways are busy. That delay
 * does not depend on the prompt size, so the correction is additive; a factor learned from small prompts would reject
 * large ones. Rejected requests yield no observations, so each lets the correction decay and some requests are admitted
 * again. PredictionCorrection is mutable and not thread-safe.
 */
public final class PredictionCorrection {
    /** The weight of a new observation in the moving average. */
    private static final double SMOOTHING = 0.15;

    /** The factor applied to the correction on each rejection; half of it is gone after 23. */
    private static final double REJECTION_DECAY = 0.97;

    /** The magnitude below which the correction is reset to 0. */
    private static final double MIN_MILLIS = 1;

    /** The upper bound on an observation, which limits the effect of outliers. */
    private static final double MAX_OBSERVATION_MILLIS = 1_000;

    private double extraMillis;

    /** Returns a correction without observations, not null. */
    public static PredictionCorrection none() {
        return new PredictionCorrection();
    }

    private PredictionCorrection() {}

    /** Returns the corrected prediction; it is never shorter. */
    public double applyTo(double predictedMillis) {
        return predictedMillis + Math.max(0, extraMillis);
    }

    /** Records the actual time to a first event. */
    public void observed(double predictedMillis, double actualMillis) {
        double extra = Math.min(MAX_OBSERVATION_MILLIS, actualMillis - predictedMillis);
        extraMillis += SMOOTHING * (extra - extraMillis);
    }

    /** Lets the correction decay after a rejected request. */
    public void requestRejected() {
        double decayed = extraMillis * REJECTION_DECAY;
        extraMillis = decayed < MIN_MILLIS ? 0 : decayed;
    }

    @Override
    public String toString() {
        return "PredictionCorrection[" + extraMillis + " ms]";
    }
}
