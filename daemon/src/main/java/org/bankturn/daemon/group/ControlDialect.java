package org.bankturn.daemon.group;

import org.bankturn.daemon.http.HttpHead;

/** How operators and targets speak to control processes: names and formats only. */
public interface ControlDialect {
    /** Returns what a request asks, not null. */
    ControlCall read(HttpHead head, byte[] body);

    /** Returns the head of an answer, not null. */
    HttpHead head(ControlAnswer answer);

    /** Returns the body of an answer, not null. */
    byte[] body(ControlAnswer answer);
}
