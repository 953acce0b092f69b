package org.bankturn.daemon.weights;

/** Receives the pieces that a {@link PieceFetcher} has fetched. */
interface PieceSink {
    /** Returns true while a piece is missing. */
    boolean isMissing(int piece);

    /** Accepts a piece; returns false if it is corrupt and must be fetched from another source. */
    boolean accept(int piece, byte[] bytes, String source);
}
