package org.bankturn.weights;

/** Where a piece is fetched from. */
public sealed interface PieceSource {
    /** The origin of weights. */
    record Origin() implements PieceSource {}

    /** Another box, named as in {@link PieceHolder}. */
    record Neighbour(String box) implements PieceSource {}
}
