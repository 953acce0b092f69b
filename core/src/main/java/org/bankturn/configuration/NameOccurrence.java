package org.bankturn.configuration;

import java.util.Locale;
import org.bankturn.document.SourceLocation;

/**
 * A definition of a name in an operator file, or a reference to one, with its source location.
 *
 * @param kind the kind of object that is named, not null
 * @param name the name, not null
 * @param location the source location, not null
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

    /** Identifies the named object independently of the source location. */
    record Identity(Kind kind, String name) {}

    Identity identity() {
        return new Identity(kind, name);
    }
}
