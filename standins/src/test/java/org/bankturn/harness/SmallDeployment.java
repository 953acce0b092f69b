package org.bankturn.harness;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import org.bankturn.cli.BankturnTool;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.Weights;

/** A small deployment for a single test, with helper methods. */
final class SmallDeployment implements AutoCloseable {
    static final long TIMEOUT_MILLIS = 60_000;
    static final EngineStandin.Settings ENGINE = new EngineStandin.Settings(true, 10, 60, 20);
    static final Weights WEIGHTS_V1 = Weights.generate(1, 4 << 20, 256 << 10);
    static final Weights WEIGHTS_V2 = Weights.generate(2, 4 << 20, 256 << 10);
    private static final ObjectMapper JSON = new ObjectMapper();

    final LocalDeployment running;
    final CallerStatistics statistics = new CallerStatistics();
    final Caller caller = new Caller(statistics, Set.of(WEIGHTS_V1.digest(), WEIGHTS_V2.digest()), ENGINE.tokens());

    private SmallDeployment(LocalDeployment running) {
        this.running = running;
    }

    static SmallDeployment start(EngineStandin.Settings engine) throws IOException {
        LocalDeployment.Options options =
                new LocalDeployment.Options(32 << 20, 16 << 20, DistributionPolicy.ORIGIN_BYTES, 3, 32, engine, false);
        SmallDeployment deployment = new SmallDeployment(LocalDeployment.prepare(DeploymentPlan.small(), options));
        deployment.running.origin().publish(WEIGHTS_V1);
        deployment.running.origin().publish(WEIGHTS_V2);
        deployment.running.startAll();
        return deployment;
    }

    /** Starts a deployment and waits until the first version is in service at every entry process. */
    static SmallDeployment startServing() throws IOException {
        SmallDeployment deployment = start(ENGINE);
        deployment.apply(1, "v1");
        deployment.awaitServing();
        return deployment;
    }

    int apply(long number, String wanted) throws IOException {
        return applyThrough(running.operatorAddresses(), number, wanted, "tester");
    }

    int applyThrough(String addresses, long number, String wanted, String by) throws IOException {
        Path file = running.writeOperatorFile(number, Map.of("v1", WEIGHTS_V1, "v2", WEIGHTS_V2), wanted);
        return tool("apply", "--addresses", addresses, "--by", by, file.toString());
    }

    static int tool(String... arguments) {
        return BankturnTool.run(arguments);
    }

    /** Runs a read command of the tool against one process and parses its output. */
    JsonNode read(String command, String process) throws IOException {
        PrintStream before = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, StandardCharsets.UTF_8));
        try {
            tool(command, "--addresses", running.httpAddress(process), "--output", "json");
        } finally {
            System.setOut(before);
        }
        return JSON.readTree(printed.toString(StandardCharsets.UTF_8));
    }

    long indexAt(String process) throws IOException {
        return read("show", process).path("index").asLong();
    }

    String leader() throws IOException {
        return read("status", "one-entry").path("leader").asText();
    }

    void awaitServing() {
        for (DeploymentPlan.EntryBox entry : running.plan().entries()) {
            Await.until("answers at " + entry.name(), TIMEOUT_MILLIS, () -> chat(entry.name()) == 2000);
        }
    }

    int chat(String entry) {
        return caller.chat(running.httpAddress(entry), "account-1");
    }

    void awaitIndex(String process, long index) {
        Await.until(process + " at " + index, TIMEOUT_MILLIS, () -> {
            try {
                return indexAt(process) >= index;
            } catch (IOException e) {
                return false;
            }
        });
    }

    /** Waits until a process shows an operator file; followers show accepted files with a delay. */
    void awaitFile(String process, long number) {
        Await.until("file " + number + " shown by " + process, TIMEOUT_MILLIS, () -> {
            try {
                return read("show", process)
                                .path("files")
                                .path(0)
                                .path("number")
                                .asLong()
                        >= number;
            } catch (IOException e) {
                return false;
            }
        });
    }

    boolean hasFile(Path path) {
        return Files.exists(path);
    }

    @Override
    public void close() throws IOException {
        running.close();
    }
}
