package org.bankturn.daemon.gateway;

import java.util.List;

/**
 * The parts of a request's prompt that other requests may have, too.
 *
 * @param shared the ids of all parts but the last, which is the request's own; distinct and in order, not null
 * @param unreadable the number of parts that were malformed or exceeded the limit; malformed ids are not in
 *     {@code shared}
 */
public record PromptParts(List<String> shared, int unreadable) {
    /** The parts of a request that names none. */
    public static final PromptParts NONE = new PromptParts(List.of(), 0);

    /** Copies the ids. */
    public PromptParts {
        shared = List.copyOf(shared);
    }

    /** Returns the shared ids, separated by commas, not null. */
    @Override
    public String toString() {
        return String.join(",", shared);
    }
}
