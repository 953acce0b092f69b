package org.bankturn.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Tells whether two requests are the same one that came again: same path, caller and body, whatever their ids.
 *
 * <p>It is the first half of a SHA-256 digest, so that nobody can make one request pass for another. RequestFingerprint is
 * immutable and thread-safe.
 *
 * @param high the first eight bytes
 * @param low the next eight bytes
 */
public record RequestFingerprint(long high, long low) {
    private static final String ALGORITHM = "SHA-256";
    private static final int HEX_DIGITS = 16;
    private static final byte SEPARATOR = 0;

    /**
     * Returns the fingerprint of a request, not null.
     *
     * @param path its path, without the query, not null
     * @param caller the client account that speaks, empty if there is none, not null
     * @param body its body, not null
     */
    public static RequestFingerprint of(String path, String caller, byte[] body) {
        MessageDigest digest = digest();
        digest.update(path.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        digest.update(caller.getBytes(StandardCharsets.UTF_8));
        digest.update(SEPARATOR);
        ByteBuffer bytes = ByteBuffer.wrap(digest.digest(body));
        return new RequestFingerprint(bytes.getLong(), bytes.getLong());
    }

    /**
     * Returns the fingerprint that {@link #toString()} wrote, not null.
     *
     * @param text 32 hexadecimal digits, not null
     * @throws IllegalArgumentException if the text is no fingerprint
     */
    public static RequestFingerprint parse(String text) {
        if (text.length() != 2 * HEX_DIGITS) {
            throw new IllegalArgumentException("a fingerprint has " + 2 * HEX_DIGITS + " digits: " + text);
        }
        try {
            return new RequestFingerprint(
                    Long.parseUnsignedLong(text.substring(0, HEX_DIGITS), 16),
                    Long.parseUnsignedLong(text.substring(HEX_DIGITS), 16));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("a fingerprint is made of hexadecimal digits: " + text, e);
        }
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has " + ALGORITHM, e);
        }
    }

    /** Returns 32 hexadecimal digits, not null. */
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
