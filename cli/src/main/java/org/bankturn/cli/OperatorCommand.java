package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;

/** What every command of the tool shares: addresses, output, and how trouble ends it. */
abstract class OperatorCommand {
    private static final String ENVIRONMENT = "BANKTURN_ADDRESSES";

    @Option(
            name = {"--addresses"},
            title = "HOST:PORT,...",
            description = "Entry or control processes to ask, the next when one does not answer; else the environment"
                    + " variable BANKTURN_ADDRESSES.",
            type = OptionType.COMMAND)
    private String addresses;

    @Option(
            name = {"--output"},
            title = "text|json",
            description = "How to print answers.",
            type = OptionType.COMMAND)
    private String output = "text";

    /** Runs the command. */
    abstract ExitCode run() throws IOException;

    /** Runs the command and says what went wrong, if anything did. */
    final ExitCode runAndReport() {
        if (!output.equals("text") && !output.equals("json")) {
            System.err.println("--output must be text or json, not " + output);
            return ExitCode.USAGE;
        }
        try {
            return run();
        } catch (IOException e) {
            System.err.println(e.getMessage());
            return ExitCode.UNREACHABLE;
        }
    }

    final boolean hasAddresses() {
        return addresses != null || System.getenv(ENVIRONMENT) != null;
    }

    final OperatorClient client() {
        String list = addresses != null ? addresses : System.getenv().getOrDefault(ENVIRONMENT, "");
        return new OperatorClient(List.of(list.split(",")).stream()
                .filter(text -> !text.isBlank())
                .toList());
    }

    final void print(JsonNode answer, Function<JsonNode, String> text) {
        OutputFormat format = output.equals("json") ? OutputFormat.JSON : OutputFormat.TEXT;
        System.out.println(format.render(answer, text).stripTrailing());
    }
}
