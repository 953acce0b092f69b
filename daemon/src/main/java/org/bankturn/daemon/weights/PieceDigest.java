package org.bankturn.daemon.weights;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes the digests that manifests name. */
final class PieceDigest {
    private PieceDigest() {}

    /** Returns the SHA-256 of a piece, in lower-case hexadecimal, not null. */
    static String of(byte[] piece) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(piece));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform must support SHA-256", e);
        }
    }
}
