package org.bankturn.weights;

/** Where a piece is fetched from. */
public sealed interface PieceSource {
    /** The origin of weights. */
    record Origin() implements PieceSource {}

    /**
     * Another box, named as in {@link WeightsPeer}.
     *
     * @param box the box, not null
     * @param holds true if it is thought to hold the version already, so that waiting there makes no sense
     */
    record Neighbour(String box, boolean holdsVersion) implements PieceSource {}
}
