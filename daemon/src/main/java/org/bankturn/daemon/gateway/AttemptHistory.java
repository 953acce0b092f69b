package org.bankturn.daemon.gateway;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * The endings of the most recent attempts at a request.
 *
 * <p>AttemptHistory is mutable and not thread-safe.
 */
final class AttemptHistory {
    private static final int CAPACITY = 8;

    private final Deque<AttemptSummary> recent = new ArrayDeque<>();
    private int omitted;

    void add(AttemptSummary summary) {
        if (recent.size() == CAPACITY) {
            recent.removeFirst();
            omitted++;
        }
        recent.addLast(summary);
    }

    /** Returns the last attempt that ended, empty if there is none. */
    Optional<AttemptSummary> last() {
        return Optional.ofNullable(recent.peekLast());
    }

    /** Returns the endings in order, preceded by the number of those that are no longer held. */
    @Override
    public String toString() {
        String endings = recent.stream().map(AttemptSummary::toString).collect(Collectors.joining("; "));
        return omitted == 0 ? endings : omitted + " earlier; " + endings;
    }
}
