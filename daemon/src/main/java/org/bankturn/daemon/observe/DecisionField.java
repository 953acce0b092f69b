package org.bankturn.daemon.observe;

import java.util.Locale;

/** The name of a value in a line of the decision log. */
public enum DecisionField {
    /** The address of the process or target concerned. */
    ADDRESS,
    /** The answer that was given. */
    ANSWER,
    /** The class, method and line of the code that was at work. */
    AT_CODE,
    /** How many pieces wait for their neighbour's transfer. */
    AT_NEIGHBOURS,
    /** How many pieces wait for the origin. */
    AT_ORIGIN,
    /** For how long a target is avoided, in milliseconds. */
    AVOIDED_MS,
    /** For how long a target asks to be left alone, in milliseconds, 0 if it does not. */
    BACK_OFF_MS,
    /** The kind of call that was made. */
    CALL,
    /** True if what is published was confirmed by a control process in touch with a majority. */
    CONFIRMED,
    /** What was lost or regained. */
    DEPENDENCY,
    /** How many targets ended under the request. */
    ENDS,
    /** What went wrong, in words. */
    ERROR,
    /** What happened, in a word or two. */
    EVENT,
    /** How many failures came in a row. */
    FAILURES,
    /** The request's fingerprint: the same whenever the same request comes again. */
    FINGERPRINT,
    /** How long the first event took, in milliseconds. */
    FIRST_EVENT_MS,
    /** The process that something was learned from. */
    FROM,
    /** How many pieces the origin gave. */
    FROM_ORIGIN,
    /** The data hall that the process is in. */
    HALL,
    /** How long a request was held, in milliseconds. */
    HELD_MS,
    /** How many targets were left out by their own wish, for each reason. */
    HELD_BACK,
    /** The index of a publication. */
    INDEX,
    /** True if a connection had carried something before. */
    KEPT,
    /** The index of the last entry of the log. */
    LAST,
    /** True if the request may have run at a target. */
    MAY_HAVE_RUN,
    /** The number of members of the group. */
    MEMBERS,
    /** How an engine is changed over to other weights. */
    METHOD,
    /** The model whose weights are meant. */
    MODEL,
    /** How many pieces came from the source of most of them. */
    MOST,
    /** The source that gave most pieces. */
    MOST_FROM,
    /** The neighbour that a piece comes from. */
    NEIGHBOUR,
    /** What came of it. */
    OUTCOME,
    /** The requests a second that a target takes from all gateways together, 0 for any number. */
    PER_SECOND,
    /** The number of a piece of weights. */
    PIECE,
    /** How many pieces of weights are here. */
    PIECES,
    /** How long the first event was predicted to take, in milliseconds. */
    PREDICTED_MS,
    /** Why it was decided so. */
    REASON,
    /** The request's id, as the caller gave it. */
    REQUEST,
    /** The role of the process. */
    ROLE,
    /** The route of the request. */
    ROUTE,
    /** The control boxes that the settings name. */
    SEEDS,
    /** To how many targets the request was sent. */
    SENDS,
    /** For how long nothing came on a connection, in milliseconds. */
    SILENT_MS,
    /** How many sources gave pieces. */
    SOURCES,
    /** The status that was answered, 0 if there was none. */
    STATUS,
    /** The target concerned, by its incarnation. */
    TARGET,
    /** The number of targets known. */
    TARGETS,
    /** The term of the group. */
    TERM,
    /** How long something took, in milliseconds. */
    TOOK_MS,
    /** How many requests were under way. */
    UNDER_WAY,
    /** The version of the document or of the weights. */
    VERSION,
    /** How long something was waited for, in milliseconds. */
    WAITED_MS;

    private final String label = name().toLowerCase(Locale.ROOT);

    /** Returns the name that stands in the log, not null. */
    public String label() {
        return label;
    }
}
