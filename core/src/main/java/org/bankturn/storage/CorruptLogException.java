package org.bankturn.storage;

import java.io.IOException;
import org.bankturn.result.ResultCode;

/** Thrown when a synced record does not match its checksum; see {@link ResultCode#LOG_CORRUPT}. */
public final class CorruptLogException extends IOException {
    private static final long serialVersionUID = 1L;

    CorruptLogException(String file, long position) {
        super(ResultCode.LOG_CORRUPT.number() + " " + ResultCode.LOG_CORRUPT.description() + " File " + file + ", byte "
                + position + ".");
    }
}
