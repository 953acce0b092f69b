package org.bankturn.daemon.gateway;

import java.util.Locale;

/**
 * Whether a response on a connection belongs to the request that was sent on it last.
 *
 * <p>A target may send a second copy of a response late, in the place of the response to the next request. Only the request
 * id tells them apart, and rejections may lack it, as may the responses of targets that know no ids. A connection is
 * therefore used again only after a response with its request's id, so that no copy without an id can come on it.
 */
enum ResponseMatch {
    /** The response carries the id of the request. */
    SAME_ID,
    /** The response carries no id, and no response without one was due on the connection before. */
    NO_ID,
    /** The response is a success without an id, from a target whose responses carry ids. */
    MISSING_ID,
    /** The response carries another id. */
    OTHER_ID;

    /**
     * Returns whether a response belongs to a request, not null.
     *
     * @param response the response, not null
     * @param requestId the id of the request, empty if it has none, not null
     * @param targetSendsIds true if the target has sent a response with an id on the connection
     */
    static ResponseMatch of(ResponseMetadata response, String requestId, boolean targetSendsIds) {
        if (response.requestId() != null) {
            return response.requestId().equals(requestId) ? SAME_ID : OTHER_ID;
        }
        boolean needsId = targetSendsIds && !requestId.isEmpty() && response.isSuccess();
        return needsId ? MISSING_ID : NO_ID;
    }

    /** Returns true if the response may be taken for the response to the request. */
    boolean isAccepted() {
        return this == SAME_ID || this == NO_ID;
    }

    /** Returns true if no later copy of the response can be taken for the response to another request. */
    boolean allowsReuse() {
        return this == SAME_ID;
    }

    /** Returns the name used in the log and in metrics, not null. */
    String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
