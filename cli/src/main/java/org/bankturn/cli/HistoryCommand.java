package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;

/** {@code bankturn history}: lists all accepted files. */
@Command(name = "history", description = "Lists every accepted file, oldest first.")
public final class HistoryCommand extends OperatorCommand {
    /** Created by the command-line parser. */
    public HistoryCommand() {}

    @Override
    ExitCode run() throws IOException {
        OperatorClient.Answer answer = client().get("/operator/history");
        boolean noQuorum = answer.body().has("outcome");
        print(answer.body(), noQuorum ? TextRenderer::applyResult : TextRenderer::history);
        return noQuorum ? ExitCode.UNKNOWN : ExitCode.DONE;
    }
}
