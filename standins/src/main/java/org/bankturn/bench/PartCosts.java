package org.bankturn.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationUpdate;
import org.bankturn.configuration.FileRecord;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.distribution.ChunkPlanner;
import org.bankturn.ledger.RecordedResponse;
import org.bankturn.membership.ProcessReport;
import org.bankturn.membership.ReportTable;
import org.bankturn.membership.TargetStatus;
import org.bankturn.membership.TargetView;
import org.bankturn.routing.TargetSelector;
import org.bankturn.state.ReplicatedState;
import org.bankturn.state.command.Command;
import org.bankturn.time.Clock;

/** Measures single parts at several sizes: processor time as the fastest of several rounds, sizes in bytes as encoded. */
final class PartCosts {
    private static final int[] BOXES = {100, 400, 1_600, 7_900};
    private static final int[] CLAIMS = {1_000, 10_000, 50_000};
    private static final int[] BODY_BYTES = {0, 500, 2_000, 20_000};
    private static final int REQUESTS = 10_000;
    private static final int[] CHUNKS = {60, 240, 960};
    private static final String MANIFEST = "a".repeat(64);
    private static final double NANOS_PER_MICRO = 1_000.0;

    private final int rounds;

    PartCosts(int rounds) {
        this.rounds = rounds;
    }

    private interface Work {
        void run();
    }

    private double micros(Work work) {
        long best = Long.MAX_VALUE;
        for (int round = 0; round < rounds; round++) {
            long start = System.nanoTime();
            work.run();
            best = Math.min(best, System.nanoTime() - start);
        }
        return best / NANOS_PER_MICRO;
    }

    /** One change to a small file beside a file that describes many boxes. */
    void configuration(ArrayNode out) {
        for (int boxes : BOXES) {
            Configuration base = withBoxes(boxes);
            FileRecord change = accounts(2, 10);
            Configuration changed = base.withFile(change);
            ConfigurationUpdate step = ConfigurationUpdate.between(base.index(), changed);
            ConfigurationUpdate whole = ConfigurationUpdate.between(0, changed);
            out.addObject()
                    .put("boxes", boxes)
                    .put("checkMicros", micros(() -> base.check("accounts", change.text())))
                    .put("applyStepMicros", micros(() -> step.applyTo(base)))
                    .put("stepBytes", MessagePackCodec.instance().encode(step).length)
                    .put("wholeBytes", MessagePackCodec.instance().encode(whole).length);
        }
    }

    /** The fingerprint of a request, by the size of its body; made only while targets end. */
    void fingerprints(ArrayNode out) {
        for (int bytes : BODY_BYTES) {
            byte[] body = new byte[bytes];
            double micros = micros(() -> {
                for (int request = 0; request < REQUESTS; request++) {
                    RequestFingerprint.of("/x/" + request, "account", body);
                }
            });
            out.addObject().put("bodyBytes", bytes).put("micros", micros / REQUESTS);
        }
    }

    void ledger(ArrayNode out) {
        for (int claims : CLAIMS) {
            ReplicatedState state = ReplicatedState.empty();
            double micros = micros(() -> fill(state, claims)) / claims;
            byte[] snapshot = state.snapshot();
            out.addObject()
                    .put("claims", claims)
                    .put("claimAndRecordMicros", micros)
                    .put("snapshotBytes", snapshot.length)
                    .put("snapshotMicros", micros(state::snapshot))
                    .put("restoreMicros", micros(() -> ReplicatedState.restore(snapshot)));
        }
    }

    private static void fill(ReplicatedState state, int claims) {
        RecordedResponse answer = new RecordedResponse(200, "application/json", new byte[200]);
        for (int number = 0; number < claims; number++) {
            String key = "key-" + number;
            state.apply(number, new Command.ClaimRequest("account", key, MANIFEST, key, 0, 1_000, Long.MAX_VALUE));
            state.apply(number, new Command.RecordResponse("account", key, key, answer));
        }
    }

    void reports(ArrayNode out) {
        for (int processes : BOXES) {
            List<ProcessReport> reports = new ArrayList<>();
            for (int number = 0; number < processes; number++) {
                reports.add(new ProcessReport(
                        "box-" + number, "target", "hall", 1, 1, 1, MANIFEST, List.of(MANIFEST), "", false));
            }
            List<String> names = reports.stream().map(ProcessReport::process).toList();
            ReportTable table = ReportTable.using(Clock.system());
            out.addObject()
                    .put("processes", processes)
                    .put("receiveMicros", micros(() -> table.receive(reports)))
                    .put("countLoadedMicros", micros(() -> table.countLoaded(MANIFEST, Set.copyOf(names))))
                    .put("encodedBytes", MessagePackCodec.instance().encode(new Batch(reports)).length);
        }
    }

    private record Batch(List<ProcessReport> reports) {}

    void selection(ArrayNode out) {
        for (int boxes : BOXES) {
            Configuration configuration = withBoxes(boxes);
            TargetView view = TargetView.using(Clock.system());
            configuration
                    .boxes()
                    .forEach(box -> view.recordStatus(new TargetStatus(box.name(), List.of(MANIFEST), false, 0)));
            TargetSelector selector = TargetSelector.of(configuration, view, "hall-1");
            out.addObject()
                    .put("boxes", boxes)
                    .put(
                            "selectMicros",
                            micros(() -> selector.candidates(
                                    configuration.service("chat").orElseThrow(),
                                    configuration.clientAccount("account-1").orElseThrow(),
                                    Set.of())));
        }
    }

    void planner(ArrayNode out) {
        for (int chunks : CHUNKS) {
            double micros = micros(() -> {
                ChunkPlanner planner =
                        ChunkPlanner.of(chunks, new BitSet(), 2, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
                BitSet all = new BitSet();
                all.set(0, chunks);
                for (int neighbour = 0; neighbour < 13; neighbour++) {
                    planner.updateNeighbour("box-" + neighbour, all);
                }
                while (!planner.isComplete()) {
                    planner.transferEnded(planner.nextTransfer(0).orElseThrow(), ChunkPlanner.TransferOutcome.KEPT, 0);
                }
            });
            out.addObject().put("chunks", chunks).put("chooseMicros", micros / chunks);
        }
    }

    private static Configuration withBoxes(int boxes) {
        StringBuilder text = new StringBuilder("name: boxes\nnumber: 1\ndataHalls:\n");
        for (int hall = 1; hall <= 7; hall++) {
            text.append("  - {name: hall-")
                    .append(hall)
                    .append(", region: r")
                    .append(hall % 3)
                    .append("}\n");
        }
        text.append("models:\n  - {name: m, dataHalls: [hall-1, hall-2], version: v, policy: origin-bytes,")
                .append(" entersServiceAt: 5}\nversions: [{model: m, name: v, manifest: ")
                .append(MANIFEST)
                .append(", origin: '10.0.0.1:1'}]\nservices: [{name: chat, model: m, requestsAtOnce: 8}]\nboxes:\n");
        for (int box = 0; box < boxes; box++) {
            text.append("  - {name: box-")
                    .append(box)
                    .append(", dataHall: hall-")
                    .append(1 + box % 7)
                    .append(", service: chat, httpAddress: '10.0.0.1:1', nodeAddress: '10.0.0.1:2'}\n");
        }
        FileRecord file = new FileRecord("boxes", 1, 1, "bench", MANIFEST, text.toString());
        return Configuration.of(2, List.of(file, accounts(1, 10)), Map.of("m", MANIFEST));
    }

    private static FileRecord accounts(long number, int count) {
        StringBuilder text = new StringBuilder("name: accounts\nnumber: " + number + "\nclientAccounts:\n");
        for (int account = 1; account <= count; account++) {
            text.append("  - {name: account-").append(account).append(", weight: 1, dataHalls: [hall-1]}\n");
        }
        return new FileRecord("accounts", number, 2 + number, "bench", MANIFEST, text.toString());
    }
}
