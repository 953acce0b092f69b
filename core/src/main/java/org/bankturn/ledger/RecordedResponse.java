package org.bankturn.ledger;

/**
 * The answer that a keyed request got, kept for whoever asks again.
 *
 * @param status the HTTP status
 * @param contentType the content type, null if there was none
 * @param body the whole body, not null
 */
public record RecordedResponse(int status, String contentType, byte[] body) {
    /** Bodies above this many bytes are not kept; a retry then learns that the request ran, without the body. */
    public static final int MAXIMUM_BODY_BYTES = 64 << 10;
}
