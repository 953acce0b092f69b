package org.bankturn.daemon.weights;

import java.io.IOException;

/** Signals that a call was answered with a status other than success. */
final class HttpStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    private final int status;

    HttpStatusException(int status) {
        super("unexpected HTTP status " + status);
        this.status = status;
    }

    int status() {
        return status;
    }
}
