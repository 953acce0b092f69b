package org.bankturn.daemon.http;

/** Is notified of requests that no exchange exists for, and of responses that were not delivered. */
public interface InterruptionListener {
    /** Ignores all notifications. */
    InterruptionListener NONE = new InterruptionListener() {
        @Override
        public void requestIncomplete(HttpHead request, int bodyBytes, DisconnectCause cause) {}

        @Override
        public void requestRejected(HttpHead request, int bodyBytes, int status) {}

        @Override
        public void requestTooLarge(HttpHead request, long bytes, BufferBound bound) {}

        @Override
        public void responseUndelivered(HttpHead request, long unsentBytes, DisconnectCause cause) {}

        @Override
        public void readerTooSlow(long queuedBytes, long totalBytes, long unreadMillis) {}
    };

    /**
     * Handles a connection that ended while the body of a request was received.
     *
     * @param request the head of the request, not null
     * @param bodyBytes the size of the part of the body that was received
     * @param cause why the connection ended, not null
     */
    void requestIncomplete(HttpHead request, int bodyBytes, DisconnectCause cause);

    /**
     * Handles a request that was rejected before its body was received completely.
     *
     * @param request the head of the request, null if it was not received or is malformed
     * @param bodyBytes the size of the part of the body that was received
     * @param status the status of the response
     */
    void requestRejected(HttpHead request, int bodyBytes, int status);

    /**
     * Handles a request that is about to be rejected because there is no memory for its body.
     *
     * @param request the head of the request, not null
     * @param bytes the size of the body, as far as it is known
     * @param bound the bound that does not allow it, not null
     */
    void requestTooLarge(HttpHead request, long bytes, BufferBound bound);

    /**
     * Handles a connection that ended after a response was completed and before all of it was written.
     *
     * @param request the head of the request, not null
     * @param unsentBytes the size of the writes that had not been completed
     * @param cause why the connection ended, not null
     */
    void responseUndelivered(HttpHead request, long unsentBytes, DisconnectCause cause);

    /**
     * Handles a connection that is about to be closed because too much output is queued.
     *
     * @param queuedBytes the output queued for this connection
     * @param totalBytes the output queued for all connections
     * @param unreadMillis the time for which its client has read nothing
     */
    void readerTooSlow(long queuedBytes, long totalBytes, long unreadMillis);
}
