package org.bankturn.document;

import org.bankturn.result.ResultCode;

/**
 * One thing wrong with a document.
 *
 * @param code the numbered code, not null
 * @param location where, not null
 * @param message what is wrong, naming the value, not null
 */
public record DocumentError(ResultCode code, SourceLocation location, String message) {
    @Override
    public String toString() {
        return code.number() + " " + location + ": " + message;
    }
}
