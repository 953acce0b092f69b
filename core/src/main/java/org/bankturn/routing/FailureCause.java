package org.bankturn.routing;

import java.util.Locale;

/** The reason why a request ends without a complete response from a target. */
public enum FailureCause {
    /** The deadline of the request has passed or is about to. */
    DEADLINE,
    /** The request was sent to as many targets as its route allows. */
    ATTEMPTS,
    /** No connection to a target could be established. */
    CONNECTIONS,
    /** The gateway has spent its part of the retry budget. */
    RETRY_BUDGET,
    /** No target is left that may serve the request. */
    NO_TARGET,
    /** No target is left in the regions that the route and the account allow, but there is one in another region. */
    REGIONS,
    /** Every target would start too late for the objective of the route. */
    LATE_START,
    /** The capacity that would serve the request in time is left to more urgent requests of the service. */
    LESS_URGENT,
    /** The client account has used more than its share of the service, and capacity is short. */
    ACCOUNT_SHARE,
    /** The target may have executed the request, which must not be repeated. */
    NOT_REPEATABLE,
    /** Too many targets crashed while they processed the request. */
    CONDEMNED,
    /** The caller did not read its response. */
    CALLER_STALLED,
    /** The gateway shut down before the response was complete. */
    SHUTDOWN;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name used in logs and metrics, not null. */
    public String label() {
        return label;
    }
}
