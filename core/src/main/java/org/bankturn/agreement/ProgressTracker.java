package org.bankturn.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * How far each other member has come, as a leader knows it.
 *
 * <p>ProgressTracker is mutable and belongs to one {@link RaftNode}.
 */
final class ProgressTracker {
    private static final long NEVER_MILLIS = Long.MIN_VALUE / 2;

    private final Map<Member, FollowerProgress> replications = new HashMap<>();

    /** Forgets everything and assumes that every peer may have come as far as the log. */
    void reset(List<Member> peers, long nextIndex, long nowMillis) {
        replications.clear();
        peers.forEach(peer -> replications.put(peer, new FollowerProgress(nextIndex, nowMillis)));
    }

    Optional<FollowerProgress> find(Member member) {
        return Optional.ofNullable(replications.get(member));
    }

    FollowerProgress findOrTrack(Member member, long nextIndex, long nowMillis) {
        return replications.computeIfAbsent(member, key -> new FollowerProgress(nextIndex, nowMillis));
    }

    void track(Member member, long nextIndex, long nowMillis) {
        replications.put(member, new FollowerProgress(nextIndex, nowMillis));
    }

    void remove(Member member) {
        replications.remove(member);
    }

    /** Returns when a member was last heard, in milliseconds; long ago if it is not known. */
    long lastContactMillis(Member member) {
        return find(member).map(FollowerProgress::lastContactMillis).orElse(NEVER_MILLIS);
    }

    /** Returns the index up to which a member surely holds the log, 0 if it is not known. */
    long matchIndex(Member member) {
        return find(member).map(FollowerProgress::matchIndex).orElse(0L);
    }

    /** Returns the members heard after a moment, not null. */
    Set<Member> contactedAfter(long millis) {
        Set<Member> heard = new HashSet<>();
        replications.forEach((member, replication) -> {
            if (replication.lastContactMillis() > millis) {
                heard.add(member);
            }
        });
        return heard;
    }

    /** Returns the members that surely hold an entry, not null. */
    Set<Member> membersHolding(long index) {
        Set<Member> holders = new HashSet<>();
        replications.forEach((member, replication) -> {
            if (replication.matchIndex() >= index) {
                holders.add(member);
            }
        });
        return holders;
    }
}
