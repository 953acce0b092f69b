package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides on the leader which member to add or remove next, one change at a time.
 *
 * <p>A box that lost its disk replaces its former member. A new box is added first; an unresponsive member is removed
 * only afterwards, and only while all other members are responsive, so that the group keeps its majority.
 *
 * <p>MembershipChanges is mutable and owned by one {@link RaftNode}.
 */
final class MembershipChanges {
    private static final int REMOVAL_TIMEOUTS = 4;

    private final RaftSettings settings;
    private final ProgressTracker progress;
    private Member learner;

    MembershipChanges(RaftSettings settings, ProgressTracker progress) {
        this.settings = settings;
        this.progress = progress;
    }

    /** Returns the non-voting member that is replicating the log before its admission, empty if there is none. */
    Optional<Member> learner() {
        return Optional.ofNullable(learner);
    }

    /** Discards the learner; called when leadership is gained or lost. */
    void reset() {
        learner = null;
    }

    void addLearner(Member member, long nextIndex, long nowMillis) {
        learner = member;
        progress.track(member, nextIndex, nowMillis);
    }

    /** Discards the learner if it has been admitted or is unresponsive. */
    void updateLearner(List<Member> members, long nowMillis) {
        if (learner == null) {
            return;
        }
        boolean admitted = members.contains(learner);
        boolean silent = nowMillis - progress.lastContactMillis(learner) > settings.electionTimeoutMillis();
        if (silent && !admitted) {
            progress.remove(learner);
        }
        if (silent || admitted) {
            learner = null;
        }
    }

    /**
     * Returns the membership after the next step of admission: first removes the learner's former member, if any, then
     * adds the learner.
     *
     * @return the new membership, empty if there is no learner or it lacks committed entries
     */
    Optional<List<Member>> nextAdmission(List<Member> members, long commitIndex) {
        if (learner == null || progress.matchIndex(learner) < commitIndex) {
            return Optional.empty();
        }
        List<Member> nextMembers = new ArrayList<>(members);
        boolean hadPreviousIncarnation =
                nextMembers.removeIf(member -> member.box().equals(learner.box()));
        if (!hadPreviousIncarnation) {
            nextMembers.add(learner);
        }
        return Optional.of(List.copyOf(nextMembers));
    }

    /** Returns the membership without the only unresponsive member, empty if no member should be removed. */
    Optional<List<Member>> nextRemoval(List<Member> members, List<Member> peers, long nowMillis) {
        if (learner != null || members.size() <= settings.minMembers()) {
            return Optional.empty();
        }
        List<Member> silent =
                peers.stream().filter(peer -> isSilent(peer, 1, nowMillis)).toList();
        boolean removable = silent.size() == 1 && isSilent(silent.get(0), REMOVAL_TIMEOUTS, nowMillis);
        return removable
                ? Optional.of(members.stream()
                        .filter(member -> !member.equals(silent.get(0)))
                        .toList())
                : Optional.empty();
    }

    private boolean isSilent(Member peer, int electionTimeouts, long nowMillis) {
        return nowMillis - progress.lastContactMillis(peer) > electionTimeouts * settings.electionTimeoutMillis();
    }
}
