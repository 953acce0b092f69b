package org.bankturn.daemon.observe;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;

/** Log files of tests, in the build directory. */
public final class LogFile {
    private LogFile() {}

    /** Opens the log file of a test and truncates it. */
    public static OutputStream of(String test) throws IOException {
        return Files.newOutputStream(Files.createDirectories(Path.of("target")).resolve(test + ".log"));
    }
}
