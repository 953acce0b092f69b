package org.bankturn.agreement;

import java.util.OptionalLong;

/**
 * Decides which connections a member should replace when it loses contact with its group.
 *
 * <p>Established connections can stop delivering data without an error while new connections still work. Replacing them
 * before the election timeout expires avoids an unnecessary election. Connections that delivered data within the last
 * two heartbeats are kept.
 *
 * <p>StaleConnectionPolicy is stateless.
 */
public final class StaleConnectionPolicy {
    private static final int SILENT_HEARTBEATS = 3;
    private static final int FRESH_HEARTBEATS = 2;

    private StaleConnectionPolicy() {}

    /**
     * Returns the cutoff time; connections that last delivered data at or before it should be replaced.
     *
     * @param member the member, not null
     * @param settings the group's timing, not null
     * @param nowMillis the current time
     * @return the cutoff, empty if the member is up to date or knows no leader
     */
    public static OptionalLong staleConnectionCutoffMillis(RaftNode member, RaftSettings settings, long nowMillis) {
        long heartbeat = settings.heartbeatMillis();
        boolean silent = nowMillis - member.lastUpToDateMillis() >= SILENT_HEARTBEATS * heartbeat;
        return silent && member.leader().isPresent()
                ? OptionalLong.of(nowMillis - FRESH_HEARTBEATS * heartbeat)
                : OptionalLong.empty();
    }
}
