package org.bankturn.daemon.serving;

import java.io.IOException;
import java.util.List;
import org.bankturn.document.DocumentError;

/** Reads the settings of a process in the platform's format. */
public interface SettingsSource {
    /**
     * The outcome of reading settings.
     *
     * @param settings the settings, null if there are errors
     * @param errors the errors in the settings, not null
     */
    record Result(ServingSettings settings, List<DocumentError> errors) {}

    /** Returns a value that differs from its last value if the settings may have changed. */
    long modificationStamp() throws IOException;

    /** Reads and validates the settings. */
    Result read() throws IOException;
}
