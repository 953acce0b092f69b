package org.bankturn.harness;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/** Controls a daemon that runs in its own process. */
public final class DaemonHandle {
    private static final long TIMEOUT_SECONDS = 60;
    private static final String READY = "bankturnd ready";

    private final String name;
    private final Path settings;
    private final Path log;
    private Process process;
    private CompletableFuture<Void> ready = new CompletableFuture<>();

    DaemonHandle(String name, Path settings, Path log) {
        this.name = name;
        this.settings = settings;
        this.log = log;
    }

    /** Returns the process's name, not null. */
    public String name() {
        return name;
    }

    /** Returns a handle for a second daemon with the same settings, not started, not null. */
    public DaemonHandle duplicate() {
        return new DaemonHandle(name, settings, log);
    }

    /** Returns the process id of the running daemon. */
    public long pid() {
        return process.pid();
    }

    /**
     * Returns the daemon's resident memory.
     *
     * @return kibibytes
     */
    public long residentKibibytes() {
        return statusField("VmRSS:");
    }

    /**
     * Returns the processor time that the daemon has used.
     *
     * @return milliseconds
     */
    public long processorMillis() {
        return process.toHandle()
                .info()
                .totalCpuDuration()
                .orElse(Duration.ZERO)
                .toMillis();
    }

    private long statusField(String field) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith(field))
                    .map(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0L);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Starts the daemon without waiting; see {@link #awaitReady()}.
     *
     * @param arguments additional arguments, not null
     * @throws IOException if it cannot be started
     */
    public void start(String... arguments) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xmx96m",
                "-XX:ReservedCodeCacheSize=48m",
                "-XX:MaxDirectMemorySize=64m",
                "-cp",
                System.getProperty("java.class.path"),
                "org.bankturn.daemon.BankturnDaemon",
                "--settings",
                settings.toString()));
        command.addAll(List.of(arguments));
        ready = new CompletableFuture<>();
        process = new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        Process started = process;
        CompletableFuture<Void> readyFuture = ready;
        Thread reader = new Thread(() -> readOutput(started, readyFuture), "output-" + name);
        reader.setDaemon(true);
        reader.start();
    }

    /** Waits until the daemon reports that it is ready. */
    public void awaitReady() {
        ready.orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).join();
    }

    /** Stops the daemon gracefully (SIGTERM) and waits for its exit. */
    public void stop() {
        process.destroy();
        awaitExit();
    }

    /** Requests a graceful stop (SIGTERM) without waiting. */
    public void requestStop() {
        process.destroy();
    }

    /** Kills the daemon (SIGKILL) and waits for its exit. */
    public void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    /** Suspends the daemon (SIGSTOP). */
    public void suspend() {
        signal("-STOP");
    }

    /** Resumes the daemon (SIGCONT). */
    public void resume() {
        signal("-CONT");
    }

    /** Returns true if the daemon is running. */
    public boolean isAlive() {
        return process != null && process.isAlive();
    }

    /**
     * Waits for the daemon to exit and returns its exit code.
     *
     * @return the code
     */
    public int awaitExit() {
        try {
            if (!process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
                throw new IllegalStateException(name + " did not exit in time");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns the content of the daemon's log, not null. */
    public String logText() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void signal(String which) {
        try {
            new ProcessBuilder("kill", which, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void readOutput(Process started, CompletableFuture<Void> readyFuture) {
        try (BufferedReader lines =
                new BufferedReader(new InputStreamReader(started.getInputStream(), StandardCharsets.UTF_8))) {
            for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                if (line.startsWith(READY)) {
                    readyFuture.complete(null);
                }
            }
        } catch (IOException e) {
            readyFuture.completeExceptionally(e);
        }
        readyFuture.completeExceptionally(new IllegalStateException(name + " exited before it was ready; see " + log));
    }
}
