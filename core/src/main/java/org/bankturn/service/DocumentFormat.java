package org.bankturn.service;

/** Reads the documents that operators publish, in whatever notation they use. */
@FunctionalInterface
public interface DocumentFormat {
    /**
     * Reads a document.
     *
     * @param document its bytes, not null
     * @return what it says; ask it for its problems before accepting it, not null
     * @throws UnreadableDocumentException if it cannot be read whole
     */
    ServingConfiguration read(byte[] document) throws UnreadableDocumentException;
}
