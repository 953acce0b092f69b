package org.bankturn.daemon.group;

import java.util.List;
import org.bankturn.agreement.Member;

/**
 * What other threads may know of a member and its group.
 *
 * @param self the member, null if its folder could not be read yet
 * @param leader the leader as far as known, null if none is
 * @param members the members, not null
 * @param leads true if this member leads and its state is current
 * @param hasLeader true if it leads or follows a leader
 * @param currentMillis when it last held all that its leader had committed, or as leader last heard from a majority
 */
public record GroupView(
        Member self, Member leader, List<Member> members, boolean leads, boolean hasLeader, long currentMillis) {
    /** Returns the view of a member that knows nothing, not null. */
    public static GroupView unknown() {
        return new GroupView(null, null, List.of(), false, false, Long.MIN_VALUE / 2);
    }

    /** Returns true if the member was in touch with a majority, and held what that had committed, within a span. */
    public boolean isFresh(long nowMillis, long withinMillis) {
        return hasLeader && nowMillis - currentMillis <= withinMillis;
    }
}
