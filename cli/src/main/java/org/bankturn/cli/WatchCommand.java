package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;

/** {@code bankturn watch}: prints the status repeatedly, until it is stopped or the count is reached. */
@Command(name = "watch", description = "Prints the status every second.")
public final class WatchCommand extends OperatorCommand {
    private static final long PAUSE_MILLIS = 1_000;

    @Option(
            name = {"--count"},
            title = "N",
            description = "Stop after N times; 0 repeats until stopped.")
    private int count;

    /** Created by the command-line parser. */
    public WatchCommand() {}

    @Override
    ExitCode run() throws IOException {
        for (int printed = 0; count == 0 || printed < count; printed++) {
            if (printed > 0 && !pause()) {
                return ExitCode.DONE;
            }
            print(client().get("/operator/status").body(), TextRenderer::status);
        }
        return ExitCode.DONE;
    }

    private static boolean pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }
}
