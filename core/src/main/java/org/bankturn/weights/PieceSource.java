package org.bankturn.weights;

/** A source from which a piece can be fetched. */
public sealed interface PieceSource {
    /** The origin of weights. */
    record Origin() implements PieceSource {}

    /**
     * Another box that takes part in the distribution.
     *
     * @param box the name of the box as in {@link WeightsPeer}, not null
     * @param holdsVersion true if the box is published as a holder of the version, so that it need not be polled
     */
    record Neighbour(String box, boolean holdsVersion) implements PieceSource {}
}
