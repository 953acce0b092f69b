package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** {@code bankturn apply}: submits a file. Submitting the same file again is idempotent. */
@Command(name = "apply", description = "Submits a file, which is applied completely or not at all.")
public final class ApplyCommand extends OperatorCommand {
    @Arguments(title = "FILE", description = "The operator file.")
    @Required
    private String file;

    @Option(
            name = {"--by"},
            title = "NAME",
            description = "The name of the submitter, shown when the number is already taken.")
    private String submittedBy = System.getProperty("user.name", "unnamed");

    /** Created by the command-line parser. */
    public ApplyCommand() {}

    @Override
    ExitCode run() throws IOException {
        String query = "?by=" + URLEncoder.encode(submittedBy, StandardCharsets.UTF_8);
        OperatorClient.Answer answer = client().post("/operator/files" + query, Files.readString(Path.of(file)));
        print(answer.body(), TextRenderer::applyResult);
        return switch (answer.body().path("outcome").asText()) {
            case "fileAccepted" -> ExitCode.DONE;
            case "fileRefused" -> ExitCode.REFUSED;
            default -> ExitCode.UNKNOWN;
        };
    }
}
