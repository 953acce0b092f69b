package org.bankturn.agreement;

import java.util.OptionalLong;

/**
 * Decides which connections a member should no longer use when its group has gone quiet.
 *
 * <p>Load pattern: all connections that are open go silent for good at one moment, while new ones work. A leader steps down
 * when it has not heard from a majority for an election timeout, and its followers stand for election then, so connections
 * are replaced before that: after three heartbeats without news, of the five that an election timeout holds. What was heard
 * within the last two heartbeats stays in use, so that a wrong guess costs a new connection where nothing came at all.
 *
 * <p>StaleConnectionPolicy has no state.
 */
public final class StaleConnectionPolicy {
    private static final int HEARTBEATS_WITHOUT_NEWS = 3;
    private static final int HEARTBEATS_HEARD = 2;

    private StaleConnectionPolicy() {}

    /**
     * Returns until when connections must have been heard last to be distrusted, empty if the group is in touch or the member
     * knows no leader.
     *
     * @param member the member, not null
     * @param settings the group's timing, not null
     * @param nowMillis the time
     */
    public static OptionalLong staleConnectionCutoffMillis(RaftNode member, RaftSettings settings, long nowMillis) {
        long heartbeat = settings.heartbeatMillis();
        boolean quiet = nowMillis - member.lastUpToDateMillis() >= HEARTBEATS_WITHOUT_NEWS * heartbeat;
        return quiet && member.leader().isPresent()
                ? OptionalLong.of(nowMillis - HEARTBEATS_HEARD * heartbeat)
                : OptionalLong.empty();
    }
}
