package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.FileRecord;
import org.bankturn.document.DocumentError;

/** {@code bankturn validate}: checks a file without applying it, against the configuration in force if addresses are given. */
@Command(name = "validate", description = "Checks a file and lists its errors, without applying it.")
public final class ValidateCommand extends OperatorCommand {
    private static final ObjectMapper JSON = new ObjectMapper();

    @Arguments(title = "FILE", description = "The operator file.")
    @Required
    private String file;

    /** Created by the command-line parser. */
    public ValidateCommand() {}

    @Override
    ExitCode run() throws IOException {
        Configuration base = hasAddresses() ? currentConfiguration() : Configuration.empty();
        List<DocumentError> errors = base.check(file, Files.readString(Path.of(file)));
        ObjectNode answer = JSON.createObjectNode().put("valid", errors.isEmpty());
        errors.forEach(error -> answer.withArray("errors").add(error.toString()));
        print(answer, ValidateCommand::renderText);
        return errors.isEmpty() ? ExitCode.DONE : ExitCode.REFUSED;
    }

    private Configuration currentConfiguration() throws IOException {
        JsonNode shown = client().get("/operator/show").body();
        List<FileRecord> files = new ArrayList<>();
        shown.path("files")
                .forEach(file -> files.add(new FileRecord(
                        file.path("name").asText(),
                        file.path("number").asLong(),
                        file.path("index").asLong(),
                        file.path("submittedBy").asText(),
                        file.path("digest").asText(),
                        file.path("text").asText())));
        Map<String, String> inService = new LinkedHashMap<>();
        shown.path("inService")
                .properties()
                .forEach(entry -> inService.put(entry.getKey(), entry.getValue().asText()));
        return Configuration.of(shown.path("index").asLong(), files, inService);
    }

    private static String renderText(JsonNode answer) {
        if (answer.path("valid").asBoolean()) {
            return "valid";
        }
        StringBuilder text = new StringBuilder();
        answer.path("errors").forEach(error -> text.append(error.asText()).append('\n'));
        return text.toString();
    }
}
