package org.bankturn.daemon.http;

/** Takes what comes back for a request that was sent on a {@link TargetConnection}. */
public interface ResponseListener {
    /**
     * Takes an answer's head.
     *
     * @param head the head, not null
     * @return false if it answers another request: its body is dropped and the next answer awaited
     */
    boolean onHead(HttpHead head);

    /** Takes a part of the body. */
    void onBodyPart(byte[] bytes);

    /** The answer is whole. */
    void onComplete();

    /**
     * There will be no whole answer.
     *
     * @param failure what happened, not null
     */
    void onFailure(TransportFailure failure);
}
