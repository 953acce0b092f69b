package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;

/** {@code bankturn show}: shows the configuration in force in the process that answers. */
@Command(name = "show", description = "Shows the files and versions in force.")
public final class ShowCommand extends OperatorCommand {
    /** Created by the command-line parser. */
    public ShowCommand() {}

    @Override
    ExitCode run() throws IOException {
        OperatorClient.Answer answer = client().get("/operator/show");
        boolean noQuorum = answer.body().has("outcome");
        print(answer.body(), noQuorum ? TextRenderer::applyResult : TextRenderer::configuration);
        return noQuorum ? ExitCode.UNKNOWN : ExitCode.DONE;
    }
}
