package org.bankturn.daemon.group;

import org.bankturn.daemon.http.HttpHead;

/** Maps the HTTP messages of operators and targets to control calls and answers. */
public interface ControlDialect {
    /** Parses a request, not null. */
    ControlCall read(HttpHead head, byte[] body);

    /** Returns the head of an answer, not null. */
    HttpHead head(ControlAnswer answer);

    /** Returns the body of an answer, not null. */
    byte[] body(ControlAnswer answer);
}
