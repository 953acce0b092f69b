package org.bankturn.configuration;

import java.util.List;
import org.bankturn.document.DocumentError;

/**
 * A file as read: its content, the names that it describes and refers to, and what is wrong with it by itself.
 *
 * @param content the content, harmless values where something is wrong, not null
 * @param definitions the names that it describes, not null
 * @param references the names that it refers to, not null
 * @param errors every error found, empty if the file is good by itself, not null
 */
record ParsedFile(
        OperatorFile content,
        List<NameOccurrence> definitions,
        List<NameOccurrence> references,
        List<DocumentError> errors) {}
