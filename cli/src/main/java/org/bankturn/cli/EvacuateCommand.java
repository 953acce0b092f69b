package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** {@code bankturn evacuate}: starts or ends the evacuation of a data hall, or shows the evacuated ones. */
@Command(
        name = "evacuate",
        description =
                "Takes a data hall's targets out of use, or back into it; without a hall, shows the evacuated ones.")
public final class EvacuateCommand extends OperatorCommand {
    private static final String PATH = "/evacuations";
    private static final int STATUS_OK = 200;
    private static final int STATUS_SERVER_ERROR = 500;

    @Arguments(title = "HALL", description = "The data hall; none shows the evacuated halls.")
    private String hall;

    @Option(
            name = {"--end"},
            description = "Ends the evacuation.")
    private boolean end;

    /** Created by the command-line parser. */
    public EvacuateCommand() {}

    @Override
    ExitCode run() throws IOException {
        if (hall == null) {
            return end ? ExitCode.USAGE : show();
        }
        String path = PATH + "/" + URLEncoder.encode(hall, StandardCharsets.UTF_8);
        OperatorClient.Answer answer = end ? client().delete(path) : client().put(path);
        print(answer.body(), body -> describe(answer.status(), body));
        return exitCode(answer.status());
    }

    private ExitCode show() throws IOException {
        OperatorClient.Answer answer = client().get(PATH);
        boolean shown = answer.status() == STATUS_OK;
        print(answer.body(), shown ? TextRenderer::evacuations : body -> describe(answer.status(), body));
        return exitCode(answer.status());
    }

    private String describe(int status, JsonNode body) {
        String reason = body.path("reason").asText("status " + status);
        return switch (exitCode(status)) {
            case DONE -> hall + (end ? " is in use again" : " is evacuated");
            case UNKNOWN -> "not known whether it was applied (" + reason + "); send it again";
            default -> "refused, nothing applied: " + reason;
        };
    }

    private static ExitCode exitCode(int status) {
        if (status == STATUS_OK) {
            return ExitCode.DONE;
        }
        return status < STATUS_SERVER_ERROR ? ExitCode.REFUSED : ExitCode.UNKNOWN;
    }
}
