package org.bankturn.daemon.group;

import java.util.List;
import org.bankturn.agreement.Member;

/**
 * An immutable view of a member and its group, for other threads.
 *
 * @param self the member, null before it has recovered
 * @param leader the known leader, null if there is none
 * @param members the members of the group, not null
 * @param leads true if this member leads and its state is current
 * @param hasLeader true if it leads or follows a leader
 * @param currentMillis when a follower last held all committed entries of its leader, or the leader last heard from a
 *     majority
 */
public record GroupView(
        Member self, Member leader, List<Member> members, boolean leads, boolean hasLeader, long currentMillis) {
    /** Returns the view of a member that has not recovered yet, not null. */
    public static GroupView unknown() {
        return new GroupView(null, null, List.of(), false, false, Long.MIN_VALUE / 2);
    }

    /** Returns true if the member held all entries committed by a majority within the last {@code withinMillis}. */
    public boolean isFresh(long nowMillis, long withinMillis) {
        return hasLeader && nowMillis - currentMillis <= withinMillis;
    }
}
