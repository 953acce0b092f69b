package org.bankturn.agreement;

/** A guard of the design that a schedule leaves out, to show that its checks would find it missing. */
enum SeededFault {
    /** The design as it is. */
    NONE,
    /** A box whose disk was lost comes back as the member that it was. */
    REUSES_INCARNATION_AFTER_DISK_LOSS,
    /** A box whose disk was lost forms the group again from the seeds. */
    BOOTSTRAPS_AGAIN_AFTER_DISK_LOSS,
    /** Messages leave before what they tell is synced. */
    SENDS_BEFORE_SYNC,
    /** A member that starts again takes all that its log holds for committed. */
    TREATS_WHOLE_LOG_AS_COMMITTED,
    /** A leader answers a read from what it has applied, without an entry that confirms it. */
    READS_WITHOUT_CONFIRMATION
}
