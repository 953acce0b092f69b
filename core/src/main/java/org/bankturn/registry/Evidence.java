package org.bankturn.registry;

/** What is known, beside the word of a start, of whether it is the one that is at its address now. */
public enum Evidence {
    /** Only that the word came, which is all that earlier versions asked for. */
    ARRIVAL {
        @Override
        boolean suffices(boolean doubtful) {
            return true;
        }
    },

    /** No other start was known at the address; if one is by the time that the word is recorded, it does not count. */
    UNDISPUTED {
        @Override
        boolean suffices(boolean doubtful) {
            return !doubtful;
        }
    },

    /** The start itself answered at the address, or it goes on speaking. */
    SETTLED {
        @Override
        boolean suffices(boolean doubtful) {
            return true;
        }
    };

    /** Returns true if a word may be recorded. */
    abstract boolean suffices(boolean doubtful);
}
