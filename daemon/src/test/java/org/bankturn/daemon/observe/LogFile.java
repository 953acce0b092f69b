package org.bankturn.daemon.observe;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Files in which tests keep the lines of their last run, beside the reports of the build. */
public final class LogFile {
    private LogFile() {}

    /** Opens the file of a test, empty. */
    public static OutputStream of(String test) throws IOException {
        return Files.newOutputStream(Files.createDirectories(Path.of("target")).resolve(test + ".log"));
    }
}
