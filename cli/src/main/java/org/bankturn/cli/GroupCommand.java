package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.IOException;

/** {@code bankturn group}: shows the members of the control group as the first process that answers knows them. */
@Command(
        name = "group",
        description = "Shows the members of the control group, their last contact and the losses that it tolerates.")
public final class GroupCommand extends OperatorCommand {
    private static final String PATH = "/group";
    private static final int STATUS_OK = 200;

    /** Created by the command-line parser. */
    public GroupCommand() {}

    @Override
    ExitCode run() throws IOException {
        OperatorClient.Answer answer = client().get(PATH);
        boolean shown = answer.status() == STATUS_OK;
        print(answer.body(), shown ? TextRenderer::group : body -> "status " + answer.status());
        return shown ? ExitCode.DONE : ExitCode.UNKNOWN;
    }
}
