package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;

/** {@code bankturn status}: shows the state of every process and how far it lags behind. */
@Command(name = "status", description = "Shows the leader, the versions and all processes.")
public final class StatusCommand extends OperatorCommand {
    /** Created by the command-line parser. */
    public StatusCommand() {}

    @Override
    ExitCode run() throws IOException {
        OperatorClient.Answer answer = client().get("/operator/status");
        boolean noQuorum = answer.body().has("outcome");
        print(answer.body(), noQuorum ? TextRenderer::applyResult : TextRenderer::status);
        return noQuorum ? ExitCode.UNKNOWN : ExitCode.DONE;
    }
}
