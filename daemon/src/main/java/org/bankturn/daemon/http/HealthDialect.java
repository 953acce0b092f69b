package org.bankturn.daemon.http;

import java.util.Optional;

/** Maps health requests, by which the process at a target's address identifies itself, to HTTP messages. */
public interface HealthDialect {
    /**
     * Returns a health request, not null.
     *
     * @param healthPath the health path of the target's service, not null
     * @param name the name of the expected target, not null
     */
    HttpHead healthProbe(String healthPath, String name);

    /** Returns the name of the target that sent an answer, empty if the answer does not tell it, not null. */
    Optional<String> sender(HttpHead answer);

    /** Returns whether the named target sent an answer, empty if the answer does not identify its sender, not null. */
    Optional<Boolean> identifies(String name, HttpHead answer);

    /** Returns how long the sender of an answer wants no further request, in milliseconds, 0 if it does not say. */
    long backOffMillis(HttpHead answer);
}
