package org.bankturn.routing;

/**
 * How much longer first events take than predicted, in milliseconds, learned from those that came.
 *
 * <p>One gateway sees a part of the load only, so its predictions are too low when the others are busy: prompts that the
 * others sent are read first. That wait is the same for a small prompt and a large one, so the correction is added and
 * not multiplied; a factor learned from small prompts would have the largest ones refused wherever engines are busy.
 * Refusals bring no news, so each lets the correction fade a little, and some requests are let through again.
 * PredictionCorrection is mutable and not thread-safe.
 */
public final class PredictionCorrection {
    /** Share of a new observation in the correction: about the last seven count. */
    private static final double SMOOTHING = 0.15;

    /** What a refusal leaves of the correction: half is gone after 23. */
    private static final double REJECTION_DECAY = 0.97;

    /** A correction that is smaller than that is nothing. */
    private static final double MIN_MILLIS = 1;

    /** More than that counts as that: one event that comes very late says little of the next. */
    private static final double MAX_OBSERVATION_MILLIS = 1_000;

    private double extraMillis;

    /** Returns a correction that has learned nothing, not null. */
    public static PredictionCorrection none() {
        return new PredictionCorrection();
    }

    private PredictionCorrection() {}

    /** Returns a prediction as corrected; it never gets shorter. */
    public double applyTo(double predictedMillis) {
        return predictedMillis + Math.max(0, extraMillis);
    }

    /** Learns from a first event. */
    public void observed(double predictedMillis, double actualMillis) {
        double extra = Math.min(MAX_OBSERVATION_MILLIS, actualMillis - predictedMillis);
        extraMillis += SMOOTHING * (extra - extraMillis);
    }

    /** Fades a little, since a request was refused and will tell nothing. */
    public void refused() {
        double decayed = extraMillis * REJECTION_DECAY;
        extraMillis = decayed < MIN_MILLIS ? 0 : decayed;
    }

    @Override
    public String toString() {
        return "PredictionCorrection[" + extraMillis + " ms]";
    }
}
