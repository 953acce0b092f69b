package org.bankturn.document;

import org.bankturn.result.ResultCode;

/**
 * An error in a document.
 *
 * @param code the result code, not null
 * @param location the source location, not null
 * @param message the description of the error, including the invalid value, not null
 */
public record DocumentError(ResultCode code, SourceLocation location, String message) {
    @Override
    public String toString() {
        return code.number() + " " + location + ": " + message;
    }
}
