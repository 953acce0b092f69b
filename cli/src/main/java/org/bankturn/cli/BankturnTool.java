package org.bankturn.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;

/** The entry point of the command {@code bankturn}. */
@Cli(
        name = "bankturn",
        description = "Submits operator files to bankturn and shows the configuration in force.",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            ValidateCommand.class,
            ApplyCommand.class,
            ShowCommand.class,
            StatusCommand.class,
            HistoryCommand.class,
            WatchCommand.class,
            EvacuateCommand.class,
            GroupCommand.class
        })
public final class BankturnTool {
    private static final String HELP = "help";

    private BankturnTool() {}

    /**
     * Runs the tool.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    /**
     * Runs the tool without ending the process.
     *
     * @param arguments the command line, not null
     * @return the exit code, see docs/OPERATING.md
     */
    public static int run(String... arguments) {
        Object command;
        try {
            command = new com.github.rvesse.airline.Cli<Object>(BankturnTool.class).parse(arguments);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            return ExitCode.USAGE.number();
        }
        if (command instanceof Help<?> help) {
            help.run();
            boolean helpRequested = arguments.length == 0 || arguments[0].equals(HELP);
            return helpRequested ? ExitCode.DONE.number() : ExitCode.USAGE.number();
        }
        return ((OperatorCommand) command).runAndReport().number();
    }
}
