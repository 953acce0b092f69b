package org.bankturn.daemon.weights;

import java.io.IOException;
import org.bankturn.daemon.http.HttpHead;

/** Signals that a call was answered with a status other than success. */
final class HttpStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    private final transient HttpHead head;

    HttpStatusException(HttpHead head) {
        super("unexpected HTTP status " + head.status());
        this.head = head;
    }

    /** Returns the head of the answer, not null. */
    HttpHead head() {
        return head;
    }
}
