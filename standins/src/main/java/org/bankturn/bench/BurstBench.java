package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.bankturn.cli.BankturnTool;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.Await;
import org.bankturn.harness.BurstBound;
import org.bankturn.harness.DeploymentPlan;
import org.bankturn.harness.LocalDeployment;
import org.bankturn.standin.EngineStandin;
import org.bankturn.standin.Weights;

/** {@code bench burst}: real target processes on loopback with limited links, time and origin copies against the bound. */
@Command(name = "burst", description = "Moves one version to N boxes, with real processes.")
public final class BurstBench implements Callable<String> {
    private static final int MEBIBYTE = 1 << 20;
    private static final long TIMEOUT_MILLIS = 400_000;
    private static final long STALL_MILLIS = 5_000;

    @Option(
            name = {"--boxes"},
            description = "Target processes.")
    private int boxes = 12;

    @Option(
            name = {"--policy"},
            description = "time-to-replicas or origin-bytes.")
    private String policy = "time-to-replicas";

    @Option(
            name = {"--fault"},
            description =
                    "none, dead (a tenth of the boxes die), stalled (one freezes), changed (version changed midway).")
    private String fault = "none";

    @Option(
            name = {"--mebibytes"},
            description = "Size of the weights.")
    private int mebibytes = 60;

    @Option(
            name = {"--chunk-kibibytes"},
            description = "Size of a chunk.")
    private int chunkKibibytes = 1_024;

    @Option(
            name = {"--wanted-seconds"},
            description = "The time wanted, in which the origin's link carries four copies and a box's two.")
    private int wantedSeconds = 20;

    @Option(
            name = {"--output"},
            description = "json, the only form.")
    private String output = "json";

    private Weights weights;
    private LocalDeployment running;

    /** Created by the command-line parser. */
    public BurstBench() {}

    @Override
    public String call() throws IOException {
        if (!output.equals("json")) {
            throw new IllegalArgumentException("--output must be json: " + output);
        }
        weights = Weights.generate(1, mebibytes * MEBIBYTE, chunkKibibytes << 10);
        long originRate = 4L * weights.bytes().length / wantedSeconds;
        long boxRate = 2L * weights.bytes().length / wantedSeconds;
        DistributionPolicy chosen =
                DistributionPolicy.valueOf(policy.toUpperCase(Locale.ROOT).replace('-', '_'));
        LocalDeployment.Options options = new LocalDeployment.Options(
                originRate, boxRate, chosen, boxes, 64, EngineStandin.Settings.DEFAULT, false);
        try (LocalDeployment deployment = LocalDeployment.prepare(DeploymentPlan.burst(boxes), options)) {
            running = deployment;
            running.origin().publish(weights);
            running.startAll();
            return measure(BurstBound.of(weights.bytes().length, boxes, originRate, boxRate));
        }
    }

    private String measure(BurstBound bound) throws IOException {
        long startNanos = System.nanoTime();
        apply(1, Map.of("v1", weights), "v1");
        int expected = injectFault(bound);
        ObjectNode result = new ObjectMapper().createObjectNode();
        result.put("boxes", boxes).put("policy", policy).put("fault", fault);
        result.put("mebibytes", mebibytes).put("chunkKibibytes", chunkKibibytes);
        double firstChunk = awaitOriginSent(0.001, startNanos);
        double oneCopy = awaitOriginSent(0.999, startNanos);
        result.put("secondsToFirstChunkOut", firstChunk).put("secondsToOneCopyOut", oneCopy);
        double half = awaitServing(expected / 2, startNanos);
        double most = awaitServing(expected * 9 / 10, startNanos);
        double all = awaitServing(expected, startNanos);
        result.put("secondsToHalf", half).put("secondsTo90Percent", most).put("secondsToAll", all);
        result.put("boundSeconds", bound.seconds()).put("ratioToBound", all / bound.seconds());
        result.put(
                "originCopies", running.origin().copiesSent(weights.manifest().digest()));
        return result.toString();
    }

    private void apply(long number, Map<String, Weights> versions, String wanted) throws IOException {
        String file = running.writeOperatorFile(number, versions, wanted).toString();
        PrintStream before = System.out;
        System.setOut(System.err);
        try {
            BankturnTool.run("apply", "--addresses", running.operatorAddresses(), file);
        } finally {
            System.setOut(before);
        }
    }

    /** Brings the fault about half way to the bound; returns how many boxes can still come to serve. */
    private int injectFault(BurstBound bound) throws IOException {
        if (fault.equals("none")) {
            return boxes;
        }
        pause((long) (bound.seconds() * 500));
        switch (fault) {
            case "dead" -> {
                int dying = Math.max(1, boxes / 10);
                for (int number = 1; number <= dying; number++) {
                    running.daemon("box-" + number).kill();
                }
                return boxes - dying;
            }
            case "stalled" -> {
                running.daemon("box-1").suspend();
                return boxes - 1;
            }
            case "changed" -> {
                Weights first = weights;
                weights = Weights.generate(2, mebibytes * MEBIBYTE, chunkKibibytes << 10);
                running.origin().publish(weights);
                apply(2, Map.of("v1", first, "v2", weights), "v2");
                return boxes;
            }
            default -> throw new IllegalArgumentException("unknown fault " + fault);
        }
    }

    private double awaitOriginSent(double copies, long startNanos) {
        String manifest = weights.manifest().digest();
        Await.until(
                copies + " copies left the origin",
                TIMEOUT_MILLIS,
                () -> running.origin().copiesSent(manifest) >= copies);
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private double awaitServing(int count, long startNanos) {
        Await.until(
                count + " engines serve", TIMEOUT_MILLIS + STALL_MILLIS, () -> running.enginesWith(weights) >= count);
        return (System.nanoTime() - startNanos) / 1e9;
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
