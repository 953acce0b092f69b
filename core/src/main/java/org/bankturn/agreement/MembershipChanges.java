package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Decides on the leader which member to add or remove next, one change at a time.
 *
 * <p>A box that lost its disk replaces its former member, which can never respond again: that member is removed and the box
 * is added as soon as it has responded, whether or not it holds the log. No state on the way needs more of the other members
 * for a majority than the state before the replacement. A new box that raises the majority is added only once it holds the
 * committed entries.
 *
 * <p>Unresponsive members may return with their disks. They are removed only while a majority is responsive and the group
 * remains large enough for the losses that it tolerates, after their successors have been added.
 *
 * <p>MembershipChanges is mutable and owned by one {@link RaftNode}.
 */
final class MembershipChanges {
    private static final int REMOVAL_TIMEOUTS = 4;

    private final RaftSettings settings;
    private final ProgressTracker progress;
    private final Outbox outbox;

    /** The silent members whose retention has been reported. */
    private final Set<Member> retained = new HashSet<>();

    private Member learner;
    private long lastDeferralMillis;

    MembershipChanges(RaftSettings settings, ProgressTracker progress, Outbox outbox) {
        this.settings = settings;
        this.progress = progress;
        this.outbox = outbox;
    }

    /** Returns the non-voting member that is replicating the log before its admission, empty if there is none. */
    Optional<Member> learner() {
        return Optional.ofNullable(learner);
    }

    /** Discards the learner; called when leadership is gained or lost. */
    void reset() {
        learner = null;
        retained.clear();
    }

    void addLearner(Member member, long nextIndex, long nowMillis) {
        learner = member;
        lastDeferralMillis = nowMillis;
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
            report(MembershipEvent.Kind.GIVEN_UP, learner, members, nowMillis);
            progress.remove(learner);
        }
        if (silent || admitted) {
            learner = null;
        }
    }

    /**
     * Returns the membership after the next step of admission: without the member that the learner replaces, or else with
     * the learner.
     *
     * @param previousMembers the membership before its latest change, not null
     * @param peers the members without this leader, not null
     * @return the new membership, empty if there is no learner, or if it must respond or catch up first
     */
    Optional<List<Member>> nextAdmission(
            List<Member> members, List<Member> previousMembers, List<Member> peers, long commitIndex, long nowMillis) {
        if (learner == null || members.contains(learner) || !progress.hasResponded(learner)) {
            return Optional.empty();
        }
        Optional<Member> former = memberOfLearnersBox(members);
        if (former.isPresent()) {
            report(MembershipEvent.Kind.REPLACED, former.get(), members, nowMillis);
            return Optional.of(without(members, former.get()));
        }
        if (needsLog(members, previousMembers, peers, nowMillis) && progress.matchIndex(learner) < commitIndex) {
            reportDeferral(members, nowMillis);
            return Optional.empty();
        }
        report(MembershipEvent.Kind.ADMITTED, learner, members, nowMillis);
        List<Member> nextMembers = new ArrayList<>(members);
        nextMembers.add(learner);
        return Optional.of(List.copyOf(nextMembers));
    }

    /**
     * Returns the membership without the member that has been silent for longest, empty if no member should be removed.
     *
     * <p>Several members that are silent at the same time are removed one after the other. Each step needs a majority of
     * responsive members, so that it can be committed, and never reduces the number of losses that the group tolerates.
     */
    Optional<List<Member>> nextRemoval(List<Member> members, List<Member> peers, long nowMillis) {
        List<Member> silent = silentMembers(peers, nowMillis);
        retained.retainAll(silent);
        List<Member> overdue = silent.stream()
                .filter(peer -> isSilent(peer, REMOVAL_TIMEOUTS, nowMillis))
                .sorted(Comparator.comparingLong(progress::lastContactMillis).thenComparing(Comparator.naturalOrder()))
                .toList();
        int responsive = members.size() - silent.size();
        boolean removable = members.size() > settings.minMembers() && 2 * responsive > members.size();
        if (removable && !overdue.isEmpty()) {
            report(MembershipEvent.Kind.REMOVED, overdue.get(0), members, nowMillis);
            return Optional.of(without(members, overdue.get(0)));
        }
        overdue.stream()
                .filter(retained::add)
                .forEach(peer -> report(MembershipEvent.Kind.RETAINED, peer, members, nowMillis));
        return Optional.empty();
    }

    /** Returns the members that have not responded within an election timeout, not null. */
    List<Member> silentMembers(List<Member> peers, long nowMillis) {
        return peers.stream().filter(peer -> isSilent(peer, 1, nowMillis)).toList();
    }

    void report(MembershipEvent.Kind kind, Member member, List<Member> members, long nowMillis) {
        long silentMillis = progress.find(member)
                .map(each -> nowMillis - each.lastContactMillis())
                .orElse(0L);
        List<Member> tracked =
                members.stream().filter(each -> progress.find(each).isPresent()).toList();
        outbox.report(new MembershipEvent(
                kind,
                member,
                silentMillis,
                members.size(),
                silentMembers(tracked, nowMillis).size(),
                progress.matchIndex(member)));
    }

    /**
     * Returns true if the learner would raise the majority, unless it completes a replacement and the others that respond
     * are a majority of the next membership without it.
     */
    private boolean needsLog(List<Member> members, List<Member> previousMembers, List<Member> peers, long nowMillis) {
        boolean raisesMajority = members.size() % 2 == 1;
        boolean replaces = memberOfLearnersBox(previousMembers)
                .filter(former -> !former.equals(learner))
                .isPresent();
        int responsive = members.size() - silentMembers(peers, nowMillis).size();
        boolean majorityWithout = 2 * responsive > members.size() + 1;
        return raisesMajority && !(replaces && majorityWithout);
    }

    private Optional<Member> memberOfLearnersBox(List<Member> members) {
        return members.stream()
                .filter(member -> member.box().equals(learner.box()))
                .findFirst();
    }

    /** Reports that the learner lacks entries, at most once per election timeout. */
    private void reportDeferral(List<Member> members, long nowMillis) {
        if (nowMillis - lastDeferralMillis >= settings.electionTimeoutMillis()) {
            lastDeferralMillis = nowMillis;
            report(MembershipEvent.Kind.ADMISSION_DEFERRED, learner, members, nowMillis);
        }
    }

    private boolean isSilent(Member peer, int electionTimeouts, long nowMillis) {
        return nowMillis - progress.lastContactMillis(peer) > electionTimeouts * settings.electionTimeoutMillis();
    }

    private static List<Member> without(List<Member> members, Member removed) {
        return members.stream().filter(member -> !member.equals(removed)).toList();
    }
}
