package org.bankturn.configuration;

/**
 * A version of an operator file that was accepted into the configuration.
 *
 * @param name the file name, not null
 * @param number its version number
 * @param index the configuration index at which it was accepted
 * @param submittedBy the operator who submitted the file, not null
 * @param digest the SHA-256 of its text, not null
 * @param text the file content; empty in the history, which stores only the newest text of each file, not null
 */
public record FileRecord(String name, long number, long index, String submittedBy, String digest, String text) {
    /** Returns this record without its text, not null. */
    public FileRecord withoutText() {
        return new FileRecord(name, number, index, submittedBy, digest, "");
    }
}
