package org.bankturn.daemon.weights;

/** Takes in the pieces that a {@link PieceFetcher} brings. */
interface PieceSink {
    /** Returns true while a piece is missing. */
    boolean isMissing(int piece);

    /** Takes in a piece; returns false if it is spoilt and must come from elsewhere. */
    boolean accept(int piece, byte[] bytes, String source);
}
