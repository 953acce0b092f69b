package org.bankturn.storage;

import java.nio.file.Path;
import org.bankturn.agreement.PersistentState;

/** A process that recovers a storage directory and prints how many entries it found. */
final class LogReader {
    private LogReader() {}

    /** Recovers the directory whose path is given. */
    public static void main(String[] arguments) throws Exception {
        try (FileSystemDirectory directory = FileSystemDirectory.open(Path.of(arguments[0]))) {
            PersistentState recovered = RaftStorage.recover(directory).stored();
            System.out.println(recovered.entries().size());
        }
    }
}
