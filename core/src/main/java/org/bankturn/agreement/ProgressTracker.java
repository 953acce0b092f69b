package org.bankturn.agreement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The replication progress of all other members, as tracked by the leader.
 *
 * <p>ProgressTracker is mutable and owned by one {@link RaftNode}.
 */
final class ProgressTracker {
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<Member, FollowerProgress> followers = new HashMap<>();

    /** Discards all progress and optimistically sets the next index of every peer. */
    void reset(List<Member> peers, long nextIndex, long nowMillis) {
        followers.clear();
        peers.forEach(peer -> followers.put(peer, new FollowerProgress(nextIndex, nowMillis)));
    }

    Optional<FollowerProgress> find(Member member) {
        return Optional.ofNullable(followers.get(member));
    }

    FollowerProgress findOrTrack(Member member, long nextIndex, long nowMillis) {
        return followers.computeIfAbsent(member, key -> new FollowerProgress(nextIndex, nowMillis));
    }

    void track(Member member, long nextIndex, long nowMillis) {
        followers.put(member, new FollowerProgress(nextIndex, nowMillis));
    }

    void remove(Member member) {
        followers.remove(member);
    }

    /** Returns the time of the last contact with a member, or {@link #NEVER} if it is not tracked. */
    long lastContactMillis(Member member) {
        return find(member).map(FollowerProgress::lastContactMillis).orElse(NEVER);
    }

    /** Returns true if a member has responded since it is tracked. */
    boolean hasResponded(Member member) {
        return find(member).map(FollowerProgress::hasResponded).orElse(false);
    }

    /** Returns the highest index known to be replicated to a member, 0 if it is not tracked. */
    long matchIndex(Member member) {
        return find(member).map(FollowerProgress::matchIndex).orElse(0L);
    }

    /** Returns the members contacted after the given time, not null. */
    Set<Member> contactedAfter(long millis) {
        Set<Member> contacted = new HashSet<>();
        followers.forEach((member, progress) -> {
            if (progress.lastContactMillis() > millis) {
                contacted.add(member);
            }
        });
        return contacted;
    }

    /** Returns the members known to have replicated an entry, not null. */
    Set<Member> membersHolding(long index) {
        Set<Member> members = new HashSet<>();
        followers.forEach((member, progress) -> {
            if (progress.matchIndex() >= index) {
                members.add(member);
            }
        });
        return members;
    }
}
