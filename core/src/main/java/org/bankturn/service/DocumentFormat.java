package org.bankturn.service;

/** Parses configuration documents that operators publish. */
@FunctionalInterface
public interface DocumentFormat {
    /**
     * Parses a document.
     *
     * @param document the bytes of the document, not null
     * @return the configuration, which may be inconsistent; see {@link ServingConfiguration#problems()}, not null
     * @throws UnreadableDocumentException if the document cannot be parsed
     */
    ServingConfiguration read(byte[] document) throws UnreadableDocumentException;
}
