package org.bankturn.crash;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies repetitions of a request: requests with the same path, caller and body have the same fingerprint.
 *
 * <p>The fingerprint is the first half of a SHA-256 digest, so that collisions cannot be constructed.
 * RequestFingerprint is immutable and thread-safe.
 *
 * @param high the first eight bytes of the digest
 * @param low the next eight bytes
 */
public record RequestFingerprint(long high, long low) {
    private static final String ALGORITHM = "SHA-256";
    private static final int HEX_DIGITS = 16;
    private static final byte SEPARATOR = 0;

    /**
     * Returns the fingerprint of a request, not null.
     *
     * @param path the path without the query, not null
     * @param caller the client account, empty if there is none, not null
     * @param body the body, not null
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
     * Parses the format of {@link #toString()}, not null.
     *
     * @param text 32 hexadecimal digits, not null
     * @throws IllegalArgumentException if the text is not a fingerprint
     */
    public static RequestFingerprint parse(String text) {
        if (text.length() != 2 * HEX_DIGITS) {
            throw new IllegalArgumentException("fingerprint must have " + 2 * HEX_DIGITS + " digits: " + text);
        }
        try {
            return new RequestFingerprint(
                    Long.parseUnsignedLong(text.substring(0, HEX_DIGITS), 16),
                    Long.parseUnsignedLong(text.substring(HEX_DIGITS), 16));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("fingerprint must be hexadecimal: " + text, e);
        }
    }

    private static MessageDigest digest() {
        try {
            return MessageDigest.getInstance(ALGORITHM);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(ALGORITHM + " is not available", e);
        }
    }

    /** Returns 32 hexadecimal digits, not null. */
    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
