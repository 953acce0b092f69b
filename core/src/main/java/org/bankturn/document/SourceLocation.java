package org.bankturn.document;

/**
 * A place in a document.
 *
 * @param file the document's name, not null
 * @param line the line, from 1; 0 if it has none
 * @param column the column, from 1; 0 if it has none
 * @param field the path of the field, such as {@code boxes[2].address}; empty for the whole document
 */
public record SourceLocation(String file, int line, int column, String field) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + (field.isEmpty() ? "" : " " + field);
    }
}
