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
record NamedThing(Kind kind, String name, SourceLocation location) {
    enum Kind {
        DATA_HALL,
        BOX,
        MODEL,
        VERSION,
        SERVICE,
        CLIENT_ACCOUNT;

        String words() {
            return name().toLowerCase(Locale.ROOT).replace('_', ' ');
        }
    }

    boolean isSameThing(NamedThing other) {
        return kind == other.kind && name.equals(other.name);
    }
}
