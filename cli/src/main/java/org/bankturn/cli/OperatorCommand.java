package org.bankturn.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.OptionType;
import java.io.IOException;
import java.util.List;
import java.util.function.Function;

/** Base class of all commands: server addresses, output format and error reporting. */
abstract class OperatorCommand {
    private static final String ADDRESSES_VARIABLE = "BANKTURN_ADDRESSES";

    @Option(
            name = {"--addresses"},
            title = "HOST:PORT,...",
            description = "Entry or control processes, tried in order; defaults to the environment"
                    + " variable BANKTURN_ADDRESSES.",
            type = OptionType.COMMAND)
    private String addresses;

    @Option(
            name = {"--output"},
            title = "text|json",
            description = "The output format.",
            type = OptionType.COMMAND)
    private String output = "text";

    /** Runs the command. */
    abstract ExitCode run() throws IOException;

    /** Runs the command and prints any error to standard error. */
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
        return addresses != null || System.getenv(ADDRESSES_VARIABLE) != null;
    }

    final OperatorClient client() {
        String list = addresses != null ? addresses : System.getenv().getOrDefault(ADDRESSES_VARIABLE, "");
        return new OperatorClient(List.of(list.split(",")).stream()
                .filter(text -> !text.isBlank())
                .toList());
    }

    final void print(JsonNode answer, Function<JsonNode, String> text) {
        OutputFormat format = output.equals("json") ? OutputFormat.JSON : OutputFormat.TEXT;
        System.out.println(format.render(answer, text).stripTrailing());
    }
}
