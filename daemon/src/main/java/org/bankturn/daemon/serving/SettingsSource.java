package org.bankturn.daemon.serving;

import java.io.IOException;
import java.util.List;
import org.bankturn.document.DocumentError;

/** Reads a process's settings from wherever the platform keeps them. */
public interface SettingsSource {
    /**
     * The outcome of reading settings.
     *
     * @param settings the settings, null if there are errors
     * @param errors what is wrong, empty if nothing is, not null
     */
    record Result(ServingSettings settings, List<DocumentError> errors) {}

    /** Returns a number that changes when the settings may have changed. */
    long modificationStamp() throws IOException;

    /** Reads the settings. */
    Result read() throws IOException;
}
