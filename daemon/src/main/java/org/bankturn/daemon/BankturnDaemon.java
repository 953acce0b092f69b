package org.bankturn.daemon;

import com.github.rvesse.airline.HelpOption;
import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletionException;
import org.bankturn.daemon.settings.DaemonSettings;
import org.bankturn.daemon.settings.DaemonSettingsReader;
import org.bankturn.document.DocumentError;
import org.bankturn.result.ResultCode;

/** The command {@code bankturnd}: checks the settings whole, starts the process, and stops it as planned on SIGTERM. */
@Command(name = "bankturnd", description = "Runs one process of bankturn, with the roles that its settings name.")
public final class BankturnDaemon {
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_SETTINGS = 3;
    private static final int EXIT_START = 4;

    @Option(
            name = {"--settings"},
            title = "FILE",
            description = "The settings of this process, in YAML.")
    @Required
    private String settingsFile;

    @Option(
            name = {"--form-control-group"},
            description = "Say once, at the first start of all control boxes ever. A box with an empty data folder that"
                    + " is started without it asks the others to admit it.")
    private boolean formsGroup;

    @AirlineModule
    private HelpOption<BankturnDaemon> help;

    /** Created by the command-line parser. */
    public BankturnDaemon() {}

    /**
     * Runs the daemon.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        SingleCommand<BankturnDaemon> parser = SingleCommand.singleCommand(BankturnDaemon.class);
        BankturnDaemon daemon;
        try {
            daemon = parser.parse(arguments);
        } catch (ParseException e) {
            System.err.println(e.getMessage());
            printHelp(parser);
            System.exit(EXIT_USAGE);
            return;
        }
        if (daemon.help.showHelpIfRequested()) {
            return;
        }
        int exit = daemon.run();
        if (exit != 0) {
            System.exit(exit);
        }
    }

    private int run() {
        String text;
        try {
            text = Files.readString(Path.of(settingsFile));
        } catch (IOException e) {
            System.err.println(ResultCode.FILE_UNREADABLE.number() + " " + settingsFile + ": " + e);
            return EXIT_SETTINGS;
        }
        DaemonSettingsReader.Result read = DaemonSettingsReader.read(settingsFile, text);
        if (!read.errors().isEmpty()) {
            read.errors().stream().map(DocumentError::toString).forEach(System.err::println);
            return EXIT_SETTINGS;
        }
        return start(read.settings());
    }

    private int start(DaemonSettings settings) {
        try {
            BankturnProcess process = BankturnProcess.of(settings, formsGroup);
            process.start().join();
            Runtime.getRuntime().addShutdownHook(new Thread(process::stop, "planned-stop"));
            System.out.println("bankturnd ready process=" + settings.process() + " roles=" + settings.roles() + " http="
                    + settings.httpAddress() + " node=" + settings.nodeAddress());
            return 0;
        } catch (IOException | CompletionException e) {
            Throwable cause = e instanceof CompletionException ? e.getCause() : e;
            System.err.println("bankturnd cannot start: " + cause.getMessage());
            return EXIT_START;
        }
    }

    private static void printHelp(SingleCommand<BankturnDaemon> parser) {
        try {
            Help.help(parser.getCommandMetadata(), System.err);
        } catch (IOException e) {
            System.err.println("no help: " + e.getMessage());
        }
    }
}
