package org.bankturn.configuration;

import java.util.List;
import org.bankturn.document.DocumentError;

/**
 * The result of parsing an operator file without regard to other files.
 *
 * @param content the content, with default values in place of invalid ones, not null
 * @param definitions the names that the file defines, not null
 * @param references the names that the file references, not null
 * @param errors the errors found, empty if the file is valid, not null
 */
record ParsedFile(
        OperatorFile content,
        List<NameOccurrence> definitions,
        List<NameOccurrence> references,
        List<DocumentError> errors) {}
