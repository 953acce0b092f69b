package org.bankturn.daemon.settings;

/** What a process does; an entry process may be a control process as well. */
public enum ProcessRole {
    /** Takes callers' requests. */
    ENTRY,
    /** Keeps the agreed state on a disk. */
    CONTROL,
    /** Serves one target box. */
    TARGET
}
