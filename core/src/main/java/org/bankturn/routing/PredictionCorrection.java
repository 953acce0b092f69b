package org.bankturn.routing;

/**
 * How much longer first events take than predicted, learned from those that came.
 *
 * <p>One gateway sees a part of the load only, so its predictions are too low when the others are busy. Refusals bring no
 * news, so each lets the correction fade a little, and some requests are let through again. PredictionCorrection is
 * mutable and not thread-safe.
 */
public final class PredictionCorrection {
    private static final double LEARNING = 0.15;
    private static final double FADING = 0.985;
    private static final double MOST = 8;

    private double factor = 1;

    /** Returns a correction that has learned nothing, not null. */
    public static PredictionCorrection none() {
        return new PredictionCorrection();
    }

    private PredictionCorrection() {}

    /** Returns a prediction as corrected. */
    public double applyTo(double predictedMillis) {
        return predictedMillis * Math.max(1, factor);
    }

    /** Learns from a first event. */
    public void observed(double predictedMillis, double actualMillis) {
        double ratio = Math.min(MOST, actualMillis / Math.max(1, predictedMillis));
        factor += LEARNING * (ratio - factor);
    }

    /** Fades a little, since a request was refused and will tell nothing. */
    public void refused() {
        factor = Math.max(1, factor * FADING);
    }

    @Override
    public String toString() {
        return "PredictionCorrection[" + factor + "]";
    }
}
