package org.bankturn.document;

/**
 * A source location in a document.
 *
 * @param file the document name, not null
 * @param line the line number, starting at 1; 0 if unknown
 * @param column the column number, starting at 1; 0 if unknown
 * @param field the path of the field, such as {@code boxes[2].address}; empty for the whole document
 */
public record SourceLocation(String file, int line, int column, String field) {
    @Override
    public String toString() {
        return file + ":" + line + ":" + column + (field.isEmpty() ? "" : " " + field);
    }
}
