package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides on a leader which box joins the group next and which member leaves it, one change at a time.
 *
 * <p>A box that lost its disk takes the place of the member it was. A box that is new makes the group larger; a member
 * that is silent then goes, so that the new one has its place. It goes last, since it may come back, and only while all
 * others are heard, since one of them may have died meanwhile. MembershipChanges is mutable and belongs to one
 * {@link RaftNode}.
 */
final class MembershipChanges {
    private static final int SILENT_TIMEOUTS_TO_REMOVE = 4;

    private final RaftSettings settings;
    private final ProgressTracker replications;
    private Member learner;

    MembershipChanges(RaftSettings settings, ProgressTracker replications) {
        this.settings = settings;
        this.replications = replications;
    }

    /** Returns the box that copies the log without a vote and waits to be admitted, not null. */
    Optional<Member> learner() {
        return Optional.ofNullable(learner);
    }

    /** Forgets the joiner; called when leadership begins or ends. */
    void reset() {
        learner = null;
    }

    void addLearner(Member joining, long nextIndex, long nowMillis) {
        learner = joining;
        replications.track(joining, nextIndex, nowMillis);
    }

    /** Lets go of a joiner that is a member by now, or that fell silent. */
    void updateLearner(List<Member> members, long nowMillis) {
        if (learner == null) {
            return;
        }
        boolean admitted = members.contains(learner);
        boolean silent = nowMillis - replications.lastContactMillis(learner) > settings.electionTimeoutMillis();
        if (silent && !admitted) {
            replications.remove(learner);
        }
        if (silent || admitted) {
            learner = null;
        }
    }

    /**
     * Takes the next of two steps of admission: removes the member that the joiner was, then adds the joiner.
     *
     * @return the members after the step, empty if there is no joiner that holds all that is committed
     */
    Optional<List<Member>> nextAdmission(List<Member> members, long commitIndex) {
        if (learner == null || replications.matchIndex(learner) < commitIndex) {
            return Optional.empty();
        }
        List<Member> changed = new ArrayList<>(members);
        boolean hadFormerLife = changed.removeIf(member -> member.box().equals(learner.box()));
        if (!hadFormerLife) {
            changed.add(learner);
        }
        return Optional.of(List.copyOf(changed));
    }

    /** Takes out a member that is long silent, so that a larger group does not need a majority that counts it. */
    Optional<List<Member>> nextRemoval(List<Member> members, List<Member> peers, long nowMillis) {
        if (learner != null || members.size() <= settings.minMembers()) {
            return Optional.empty();
        }
        List<Member> silent =
                peers.stream().filter(peer -> isSilent(peer, 1, nowMillis)).toList();
        boolean onlyOne = silent.size() == 1 && isSilent(silent.get(0), SILENT_TIMEOUTS_TO_REMOVE, nowMillis);
        return onlyOne
                ? Optional.of(members.stream()
                        .filter(member -> !member.equals(silent.get(0)))
                        .toList())
                : Optional.empty();
    }

    private boolean isSilent(Member peer, int electionTimeouts, long nowMillis) {
        return nowMillis - replications.lastContactMillis(peer) > electionTimeouts * settings.electionTimeoutMillis();
    }
}
