package org.bankturn.daemon.settings;

/** A role of a process; an entry process may also be a control process. */
public enum ProcessRole {
    /** Accepts requests of callers. */
    ENTRY,
    /** Stores the replicated state on disk. */
    CONTROL,
    /** Manages the weights and backend of one target box. */
    TARGET
}
