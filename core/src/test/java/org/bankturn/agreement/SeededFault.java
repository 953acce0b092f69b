package org.bankturn.agreement;

/** A defect injected into {@link FaultSimulation} to verify that its checks detect it. */
enum SeededFault {
    /** No defect. */
    NONE,
    /** A box that lost its disk returns with its old incarnation. */
    REUSES_INCARNATION_AFTER_DISK_LOSS,
    /** A box that lost its disk bootstraps the group again. */
    BOOTSTRAPS_AGAIN_AFTER_DISK_LOSS,
    /** Messages are sent before the state they refer to is synced. */
    SENDS_BEFORE_SYNC,
    /** A restarted member treats its whole log as committed. */
    TREATS_WHOLE_LOG_AS_COMMITTED,
    /** A leader serves reads from applied state without confirming its leadership. */
    READS_WITHOUT_CONFIRMATION
}
