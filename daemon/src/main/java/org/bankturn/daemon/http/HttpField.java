package org.bankturn.daemon.http;

/**
 * A header field.
 *
 * @param name the name in its original case, not null
 * @param value the value without surrounding whitespace, not null
 */
public record HttpField(String name, String value) {
    /** Returns true if this field has the given name, ignoring case. */
    public boolean is(String other) {
        return name.equalsIgnoreCase(other);
    }
}
