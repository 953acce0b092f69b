package org.bankturn.daemon.weights;

import java.io.IOException;

/** A call was answered, but with a status that is no success. */
final class HttpStatusException extends IOException {
    private static final long serialVersionUID = 1L;

    HttpStatusException(int status) {
        super("answered " + status);
    }
}
