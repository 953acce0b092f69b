package org.bankturn.daemon.group;

import java.util.Optional;
import org.bankturn.daemon.http.HttpHead;

/** How operators and targets speak to control processes: names and formats only. */
public interface ControlDialect {
    /** Returns what a request asks, not null. */
    ControlCall read(HttpHead head, byte[] body);

    /** Returns the head of an answer, not null. */
    HttpHead head(ControlAnswer answer);

    /** Returns the body of an answer, not null. */
    byte[] body(ControlAnswer answer);

    /**
     * Returns a question to whoever is at the address of a target.
     *
     * @param healthPath where targets of its service tell their health, not null
     * @param name the target that is meant, not null
     */
    HttpHead healthProbe(String healthPath, String name);

    /** Returns whether the target that was meant gave an answer, empty if that cannot be told. */
    Optional<Boolean> identifies(String name, HttpHead answer);
}
