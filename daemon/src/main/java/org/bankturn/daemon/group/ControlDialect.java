package org.bankturn.daemon.group;

import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;

/** Maps the HTTP messages of operators and targets to control calls and answers. */
public interface ControlDialect {
    /** Parses a request, not null. */
    ControlCall read(HttpHead head, byte[] body);

    /** Returns the head of an answer, not null. */
    HttpHead head(ControlAnswer answer);

    /** Returns the body of an answer, not null. */
    byte[] body(ControlAnswer answer);

    /**
     * Returns a health request that identifies the process at a target's address, not null.
     *
     * @param healthPath the health path of the target's service, not null
     * @param name the name of the expected target, not null
     */
    HttpHead healthProbe(String healthPath, String name);

    /** Returns whether the named target sent an answer, empty if the answer does not identify its sender. */
    Optional<Boolean> identifies(String name, HttpHead answer);
}
