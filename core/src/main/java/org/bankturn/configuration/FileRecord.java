package org.bankturn.configuration;

/**
 * An accepted file.
 *
 * @param name the file's name, not null
 * @param number its version number
 * @param index the configuration index at which it was accepted
 * @param submittedBy who submitted it, not null
 * @param digest the SHA-256 of its text, not null
 * @param text the text; empty in the history, where only the newest text of each file is kept, not null
 */
public record FileRecord(String name, long number, long index, String submittedBy, String digest, String text) {
    /** Returns this record without its text, not null. */
    public FileRecord withoutText() {
        return new FileRecord(name, number, index, submittedBy, digest, "");
    }
}
