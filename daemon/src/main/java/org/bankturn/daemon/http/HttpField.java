package org.bankturn.daemon.http;

/**
 * One header field.
 *
 * @param name the name as it was sent, not null
 * @param value the value without blanks around it, not null
 */
public record HttpField(String name, String value) {
    /** Returns true if this field has the given name, in any case. */
    public boolean is(String other) {
        return name.equalsIgnoreCase(other);
    }
}
