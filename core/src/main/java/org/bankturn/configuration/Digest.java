package org.bankturn.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** SHA-256 in lower-case hexadecimal digits. */
public final class Digest {
    private Digest() {}

    /**
     * Digests a text.
     *
     * @param text the text, taken as UTF-8, not null
     * @return 64 hexadecimal digits, not null
     */
    public static String of(String text) {
        return of(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Digests bytes.
     *
     * @param bytes the bytes, not null
     * @return 64 hexadecimal digits, not null
     */
    public static String of(byte[] bytes) {
        return HexFormat.of().formatHex(sha256().digest(bytes));
    }

    /** Returns a fresh SHA-256, which every Java platform has, not null. */
    public static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }
}
