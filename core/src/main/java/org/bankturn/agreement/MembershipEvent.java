package org.bankturn.agreement;

/**
 * A decision of a member about the membership of its group, for logs and metrics.
 *
 * @param kind what was decided, not null
 * @param member the member that the decision is about, not null
 * @param silentMillis how long the leader has not heard from that member, 0 if it is not known to the leader
 * @param members the number of voting members before the decision
 * @param silentMembers the number of voting members that the leader has not heard from within an election timeout
 * @param matchIndex the last entry that the leader knows the member to hold, 0 if none is known
 */
public record MembershipEvent(
        Kind kind, Member member, long silentMillis, int members, int silentMembers, long matchIndex) {
    /** The kinds of decisions. */
    public enum Kind {
        /** The leader replicates its log to a member that asked to join. */
        JOIN_ACCEPTED("join accepted", ""),
        /** A join request was passed on to the leader. */
        JOIN_PASSED_ON("join passed on", "this member does not lead"),
        /** A join request was ignored because this member neither leads nor knows the leader. */
        JOIN_WITHOUT_LEADER("join ignored", "no leader is known"),
        /** A join request was ignored because another member is joining. */
        JOIN_WHILE_ANOTHER_JOINS("join ignored", "another member is joining"),
        /** A join request was ignored because its sender has been a voting member already. */
        JOIN_BY_MEMBER("join ignored", "already a member"),
        /** A join request was ignored because the admission policy excludes its sender. */
        JOIN_NOT_PERMITTED("join ignored", "not permitted"),
        /** A joining member becomes a voting member. */
        ADMITTED("admitted", ""),
        /** A joining member lacks committed entries, so it is not admitted yet. */
        ADMISSION_DEFERRED("admission deferred", "committed entries are missing"),
        /** A joining member stopped responding before it was admitted. */
        GIVEN_UP("join given up", "silent"),
        /** The former member of a box that joins with an empty disk is removed. */
        REPLACED("removed", "its box joins with an empty disk"),
        /** A silent member is removed. */
        REMOVED("removed", "silent"),
        /** A silent member is not removed. */
        RETAINED("retained", "silent");

        private final String label;
        private final String reason;

        Kind(String label, String reason) {
            this.label = label;
            this.reason = reason;
        }

        /** Returns the name of the decision, not null. */
        public String label() {
            return label;
        }

        /** Returns the reason for the decision, empty if there is none to give, not null. */
        public String reason() {
            return reason;
        }
    }
}
