package org.bankturn.daemon.wire;

import java.io.IOException;

/** Threads of tests that read and write sockets until these are closed. */
public final class BackgroundThread {
    /** Something that ends with an error when its socket is closed. */
    @FunctionalInterface
    public interface Task {
        /** Runs until the socket is closed. */
        void run() throws IOException;
    }

    private BackgroundThread() {}

    /** Starts a thread that does not keep the tests from ending. */
    public static void start(String name, Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the connection or the test has ended
                    }
                },
                name);
        thread.setDaemon(true);
        thread.start();
    }
}
