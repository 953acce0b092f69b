package org.bankturn.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** Computes SHA-256 digests as lower-case hexadecimal strings. */
public final class Digest {
    private Digest() {}

    /**
     * Computes the digest of a string.
     *
     * @param text the string, encoded as UTF-8, not null
     * @return 64 hexadecimal digits, not null
     */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Computes the digest of a byte array.
     *
     * @param bytes the bytes, not null
     * @return 64 hexadecimal digits, not null
     */
    public static String of(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes));
    }

    /** Returns a new SHA-256 message digest, not null. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }
}
