package org.bankturn.bench;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.help.Help;
import java.util.concurrent.Callable;

/** The command {@code bench}: measurements, each printed as one JSON document. */
@Cli(
        name = "bench",
        description = "Measures bankturn on loopback.",
        defaultCommand = Help.class,
        commands = {
            Help.class,
            BurstBench.class,
            PlannerBench.class,
            SlopeBench.class,
            OverheadBench.class,
            FanOutBench.class,
            CapacityBench.class,
            ReplayLoadBench.class
        })
public final class BenchTool {
    private BenchTool() {}

    /**
     * Runs a measurement.
     *
     * @param arguments the command line, not null
     * @throws Exception if it cannot be run
     */
    public static void main(String[] arguments) throws Exception {
        Object command = new com.github.rvesse.airline.Cli<Object>(BenchTool.class).parse(arguments);
        if (command instanceof Help<?> help) {
            help.run();
            return;
        }
        System.out.println(((Callable<?>) command).call());
        System.exit(0);
    }
}
