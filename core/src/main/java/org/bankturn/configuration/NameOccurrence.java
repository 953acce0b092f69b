package org.bankturn.configuration;

import java.util.Locale;
import org.bankturn.document.SourceLocation;

/**
 * A name that a file describes, or refers to, with the place where it does.
 *
 * @param kind what the name stands for, not null
 * @param name the name, not null
 * @param location where it stands, not null
 */
record NameOccurrence(Kind kind, String name, SourceLocation location) {
    enum Kind {
        DATA_HALL,
        BOX,
        MODEL,
        VERSION,
        SERVICE,
        CLIENT_ACCOUNT;

        String label() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    /** What makes two names stand for the same thing. */
    record Identity(Kind kind, String name) {}

    Identity identity() {
        return new Identity(kind, name);
    }
}
