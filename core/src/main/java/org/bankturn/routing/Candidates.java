package org.bankturn.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/**
 * The eligible targets for one request, by locality and state, and those that are held back.
 *
 * <p>Candidates is mutable and not thread-safe.
 */
final class Candidates {
    final List<Candidate> local = new ArrayList<>();
    final List<Candidate> remote = new ArrayList<>();
    final List<Candidate> unwatched = new ArrayList<>();
    final List<Candidate> avoided = new ArrayList<>();
    final List<TargetState> heldBackLocal = new ArrayList<>();
    final List<TargetState> heldBackRemote = new ArrayList<>();

    /** Removes the preferred candidates for which the condition is false, unless it is false for all of them. */
    void retainIfAny(Predicate<Candidate> condition) {
        List<List<Candidate>> preferred = List.of(local, remote, unwatched);
        if (preferred.stream().flatMap(List::stream).anyMatch(condition)) {
            preferred.forEach(candidates -> candidates.removeIf(condition.negate()));
        }
    }
}
