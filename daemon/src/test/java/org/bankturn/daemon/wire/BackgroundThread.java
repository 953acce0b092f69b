package org.bankturn.daemon.wire;

import java.io.IOException;

/** Starts daemon threads that do blocking socket I/O in tests. */
public final class BackgroundThread {
    /** A task that fails with an {@link IOException} when its socket is closed. */
    @FunctionalInterface
    public interface Task {
        /** Runs until the socket is closed. */
        void run() throws IOException;
    }

    private BackgroundThread() {}

    /** Starts a daemon thread that runs the task. */
    public static void start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the socket was closed
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }
}
