package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import org.bankturn.cli.BankturnTool;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.Await;
import org.bankturn.harness.DaemonHandle;
import org.bankturn.harness.DeploymentPlan;
import org.bankturn.harness.LocalDeployment;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.Weights;

/** {@code bench fanout}: how long from an accepted file until it is in force in every process, and what it costs them. */
@Command(name = "fanout", description = "Measures the way of configuration changes to N target processes.")
public final class FanOutBench implements Callable<String> {
    private static final String IN_FORCE = "configuration in force: ";

    @Option(
            name = {"--boxes"},
            description = "Target processes.")
    private int boxes = 12;

    @Option(
            name = {"--changes"},
            description = "Changes, one after another.")
    private int changes = 20;

    /** Created by the command-line parser. */
    public FanOutBench() {}

    @Override
    public String call() throws IOException {
        Weights weights = Weights.generate(1, 1 << 18, 1 << 16);
        LocalDeployment.Options options = new LocalDeployment.Options(
                64 << 20, 64 << 20, DistributionPolicy.ORIGIN_BYTES, boxes, 64, EngineStandin.Settings.DEFAULT, false);
        try (LocalDeployment running = LocalDeployment.prepare(DeploymentPlan.burst(boxes), options)) {
            running.origin().publish(weights);
            running.startAll();
            apply(running, running.writeOperatorFile(1, Map.of("v1", weights), "v1"));
            Await.until("all serve", 200_000, () -> running.enginesWith(weights) == boxes);
            return measure(running);
        }
    }

    private String measure(LocalDeployment running) throws IOException {
        List<Long> took = new ArrayList<>();
        long processorBefore = processorMillis(running);
        long started = System.nanoTime();
        for (int number = 1; number <= changes; number++) {
            Path file = running.folder().resolve("extra-" + number + ".yaml");
            Files.writeString(
                    file,
                    "name: extra\nnumber: " + number + "\nclientAccounts:\n  - {name: extra-account," + " weight: "
                            + number + ", dataHalls: [hall]}\n",
                    StandardCharsets.UTF_8);
            int before = linesInForce(running);
            apply(running, file);
            took.add(Await.until("in force everywhere", 60_000, () -> linesInForce(running) >= before + boxes + 1));
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        Collections.sort(took);
        ObjectNode result =
                new ObjectMapper().createObjectNode().put("boxes", boxes).put("changes", changes);
        result.put("medianMillisToAll", took.get(changes / 2)).put("slowestMillisToAll", took.get(changes - 1));
        double each = (processorMillis(running) - processorBefore) / (double) boxes;
        return result.put("corePercentPerProcess", each / (10 * seconds))
                .put("changesPerSecond", changes / seconds)
                .toString();
    }

    private static long processorMillis(LocalDeployment running) {
        return running.daemons().stream()
                .mapToLong(DaemonHandle::processorMillis)
                .sum();
    }

    private static int linesInForce(LocalDeployment running) {
        return running.daemons().stream()
                .mapToInt(daemon -> daemon.logText().split(IN_FORCE, -1).length - 1)
                .sum();
    }

    private static void apply(LocalDeployment running, Path file) {
        PrintStream before = System.out;
        System.setOut(System.err);
        try {
            BankturnTool.run("apply", "--addresses", running.operatorAddresses(), file.toString());
        } finally {
            System.setOut(before);
        }
    }
}
