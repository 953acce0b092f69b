package org.bankturn.daemon.observe;

import java.util.Locale;

/** The fields of lines in the decision log. */
public enum DecisionField {
    /** The address of the process or target concerned. */
    ADDRESS,
    /** The response that was given. */
    ANSWER,

    /** The name that the process at a target's address gave, empty if it gave none. */
    ANSWERED_BY,
    /** The endings of the attempts at a request, in order. */
    ATTEMPTS,
    /** The class, method and line of the code that threw an error. */
    AT_CODE,
    /** The number of pieces awaited from a neighbour. */
    AT_NEIGHBOURS,
    /** The number of pieces awaited from the origin. */
    AT_ORIGIN,
    /** How long a target is avoided, in milliseconds. */
    AVOIDED_MS,
    /** The back-off that a target requests, in milliseconds, 0 if none. */
    BACK_OFF_MS,
    /** The size of the request body in bytes. */
    BODY_BYTES,
    /** The bound that was exceeded. */
    BOUND,
    /** The size of the message so far, in bytes. */
    BYTES,
    /** The kind of call. */
    CALL,
    /** The check or condition that decided. */
    CAUSE,
    /** What the check of an incarnation at its address has shown. */
    CHECK,

    /** The number of health requests sent to a target's address. */
    CHECKS,

    /** The time for which a target counts as cold, in milliseconds. */
    COLD_MS,
    /** The index of the last committed log entry that this process knows. */
    COMMIT_INDEX,
    /** True if the publication was confirmed by a control process in contact with a majority. */
    CONFIRMED,
    /** The time allowed for the request, in milliseconds. */
    DEADLINE_MS,
    /** The dependency that was lost or regained. */
    DEPENDENCY,
    /** Why the connection of the caller ended. */
    DISCONNECT,
    /** The number of targets that crashed while they processed the request. */
    ENDS,
    /** The targets that crashed, separated by commas. */
    ENDED_TARGETS,
    /** True if only the end of the connection delimited the response. */
    ENDED_AT_CLOSE,
    /** A description of the error. */
    ERROR,
    /** The name of the event. */
    EVENT,
    /** The number of events forwarded to the caller. */
    EVENTS,
    /** What showed that a target has ended. */
    EVIDENCE,
    /** The number of consecutive failures. */
    FAILURES,
    /** A hash that identifies repeated submissions of the same request. */
    FINGERPRINT,
    /** The time to the first event, in milliseconds. */
    FIRST_EVENT_MS,
    /** The process that supplied the information. */
    FROM,
    /** The number of pieces fetched from the origin. */
    FROM_ORIGIN,
    /** The time between two events of a stream, in milliseconds. */
    GAP_MS,
    /** The data hall of the process. */
    HALL,
    /** How long the gateway held a request, in milliseconds. */
    HELD_MS,
    /** The number of targets excluded at their own request, by reason. */
    HELD_BACK,
    /** The index of a publication. */
    INDEX,
    /** True if data had been received on the connection before. */
    KEPT,
    /** The index of the last log entry. */
    LAST,
    /** The index of the last log entry that the leader knows a member to hold. */
    MATCH_INDEX,
    /** True if a target may have executed the request. */
    MAY_HAVE_RUN,
    /** The number of members of the group. */
    MEMBERS,
    /** What was received: a request, a response or an event. */
    MESSAGE,
    /** How an engine switches to other weights. */
    METHOD,
    /** The model that the weights belong to. */
    MODEL,
    /** The number of pieces from the source that supplied the most. */
    MOST,
    /** The source that supplied the most pieces. */
    MOST_FROM,
    /** The neighbour that supplies a piece. */
    NEIGHBOUR,
    /** The outcome of the operation. */
    OUTCOME,
    /** A target's limit on requests per second from all gateways, 0 if none. */
    PER_SECOND,
    /** The number of a piece of weights. */
    PIECE,
    /** The number of pieces of weights held. */
    PIECES,
    /** The predicted time to the first event, in milliseconds. */
    PREDICTED_MS,
    /** The id of a part of a prompt. */
    PROMPT_PART,
    /** The ids of the prompt's parts that other requests may have, too, in order. */
    PROMPT_PARTS,
    /** The number of prompt tokens of the request, 0 if not given. */
    PROMPT_TOKENS,
    /** The reason for the decision. */
    REASON,
    /** The time left until the deadline, in milliseconds, negative if it has passed. */
    REMAINING_MS,
    /** The request identifier assigned by the caller. */
    REQUEST,
    /** The number of requests that the event concerns. */
    REQUESTS,
    /** The number of pieces that were corrupt and were staged again. */
    RESTAGED,
    /** The number of orders that an engine has begun since it started, as an order to it expects. */
    REVISION,
    /** The role of the process. */
    ROLE,
    /** The route of the request. */
    ROUTE,
    /** The control boxes listed in the settings. */
    SEEDS,
    /** The number of targets that the request was sent to. */
    SENDS,
    /** How long a target may send nothing before the request is moved, in milliseconds. */
    SILENCE_LIMIT_MS,
    /** The number of members of the group that the leader has not heard from. */
    SILENT_MEMBERS,
    /** The time since data was last received on a connection or from a member, in milliseconds. */
    SILENT_MS,
    /** The number of sources that supplied pieces. */
    SOURCES,
    /** The response status, 0 if there was none. */
    STATUS,
    /** The incarnation of the target. */
    TARGET,
    /** The number of known targets. */
    TARGETS,
    /** The consensus term of the group. */
    TERM,
    /** The number of further members that may be lost before the leader has no majority. */
    TOLERABLE_LOSSES,
    /** The duration of the operation, in milliseconds. */
    TOOK_MS,
    /** The size of the output that all callers have not read, in bytes. */
    TOTAL_UNSENT_BYTES,
    /** The number of requests in progress. */
    UNDER_WAY,
    /** The number of prompt parts that could not be read. */
    UNREADABLE_PARTS,
    /** The size of the writes to a caller that had not been completed, in bytes. */
    UNSENT_BYTES,
    /** How long it took to read the staged pieces back, in milliseconds. */
    VERIFICATION_MS,
    /** The version of the document or of the weights. */
    VERSION,
    /** The time spent waiting, in milliseconds. */
    WAITED_MS;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the field's name in the log, not null. */
    public String label() {
        return label;
    }
}
