package org.bankturn.registry;

/** The evidence, besides its heartbeat, that an incarnation is reachable at its announced address. */
public enum Evidence {
    /** The heartbeat alone; earlier versions required no more. */
    ARRIVAL {
        @Override
        boolean permitsRecording(boolean addressConflict) {
            return true;
        }
    },

    /** No other incarnation was known at the address; the heartbeat is discarded if one is when it is recorded. */
    UNDISPUTED {
        @Override
        boolean permitsRecording(boolean addressConflict) {
            return !addressConflict;
        }
    },

    /** The incarnation answered at the address, or sent a further heartbeat. */
    SETTLED {
        @Override
        boolean permitsRecording(boolean addressConflict) {
            return true;
        }
    };

    /** Returns true if a heartbeat may be recorded. */
    abstract boolean permitsRecording(boolean addressConflict);
}
