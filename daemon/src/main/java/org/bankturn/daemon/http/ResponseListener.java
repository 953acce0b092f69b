package org.bankturn.daemon.http;

/** Receives the response to a request sent on a {@link TargetConnection}. */
public interface ResponseListener {
    /**
     * Called with the head of a response.
     *
     * @param head the head, not null
     * @return false if the response belongs to another request; its body is then discarded and the next response awaited
     */
    boolean onHead(HttpHead head);

    /** Called with each part of the body. */
    void onBodyPart(byte[] bytes);

    /**
     * Returns the number of bytes, with heads and framing, that are accepted from the sending of the request until the
     * response is complete.
     */
    default long maxResponseBytes() {
        return Long.MAX_VALUE;
    }

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called instead of {@link #onComplete} when only the end of the connection delimits the response; the response may
     * have been truncated by a crash of the target.
     */
    default void onEndOfConnection() {
        onComplete();
    }

    /**
     * Called when the response cannot be completed.
     *
     * @param failure the cause, not null
     */
    void onFailure(TransportFailure failure);
}
