package org.bankturn.ledger;

/**
 * The recorded response to a request with an idempotency key, returned to retries.
 *
 * @param status the HTTP status code
 * @param contentType the content type, null if there was none
 * @param body the complete body, not null
 */
public record RecordedResponse(int status, String contentType, byte[] body) {
    /** The maximum size of a recorded body; the responses to retries omit larger bodies. */
    public static final int MAXIMUM_BODY_BYTES = 64 << 10;
}
