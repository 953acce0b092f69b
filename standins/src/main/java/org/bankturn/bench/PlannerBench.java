package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.harness.BurstBound;

/** {@code bench planner}: the pure planner and the baselines over a fake link, at sizes that no one machine holds. */
@Command(name = "planner", description = "Drives the pure planner over a fake link, with baselines in the same run.")
public final class PlannerBench implements Callable<String> {
    private static final int MEBIBYTE = 1 << 20;

    @Option(
            name = {"--boxes"},
            description = "Boxes.")
    private int boxes = 890;

    @Option(
            name = {"--chunks"},
            description = "Chunks of one MiB.")
    private int chunks = 60;

    @Option(
            name = {"--dead-percent"},
            description = "Boxes that die half way to the bound, in percent.")
    private int deadPercent;

    @Option(
            name = {"--corrupt-percent"},
            description = "Chunks that arrive corrupted, in percent.")
    private int corruptPercent;

    /** Created by the command-line parser. */
    public PlannerBench() {}

    @Override
    public String call() {
        double wantedSeconds = 60;
        double originRate = 4.0 * chunks / wantedSeconds;
        double boxRate = 2.0 * chunks / wantedSeconds;
        BurstBound bound = BurstBound.of(
                (long) chunks * MEBIBYTE, boxes, (long) (originRate * MEBIBYTE), (long) (boxRate * MEBIBYTE));
        ObjectNode result = new ObjectMapper().createObjectNode();
        result.put("boxes", boxes).put("chunks", chunks).put("boundSeconds", bound.seconds());
        result.put("deadPercent", deadPercent).put("corruptPercent", corruptPercent);
        for (DistributionPolicy policy : DistributionPolicy.values()) {
            FakeLinkRun run = new FakeLinkRun(boxes, chunks, originRate, boxRate, policy, 1);
            run.withFaults(deadPercent, corruptPercent, bound.seconds() / 2).run();
            ObjectNode line = result.putObject(policy.name().toLowerCase(Locale.ROOT));
            line.put("secondsToHalf", run.secondsTo(0.5)).put("secondsTo90Percent", run.secondsTo(0.9));
            line.put("secondsToAll", run.secondsTo(1)).put("ratioToBound", run.secondsTo(1) / bound.seconds());
            line.put("originCopies", run.originCopies()).put("rejectedChunks", run.rejectedChunks());
        }
        baseline(result, "baselineOriginOnly", boxes * chunks / originRate, boxes);
        double copySeconds = chunks / boxRate;
        double doublings = Math.ceil(Math.log(boxes + 1.0) / Math.log(2));
        baseline(result, "baselineStoreAndForwardTree", chunks / originRate + doublings * copySeconds, 1);
        return result.toString();
    }

    /** Baselines are worked out, not run: whole copies have no schedule to decide. */
    private static void baseline(ObjectNode result, String name, double seconds, double copies) {
        result.putObject(name).put("secondsToAll", seconds).put("originCopies", copies);
    }
}
