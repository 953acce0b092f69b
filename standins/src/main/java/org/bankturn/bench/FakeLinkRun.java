package org.bankturn.bench;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.distribution.ChunkPlanner;
import org.bankturn.distribution.ChunkPlanner.TransferOutcome;
import org.bankturn.distribution.DistributionPolicy;
import org.bankturn.distribution.NeighbourSelector;
import org.bankturn.distribution.OriginBudget;

/**
 * The planners of many boxes over a fake link: every transfer takes its turn on the sender's and the receiver's link.
 *
 * <p>A measurement of the planner, not a simulator of the cluster: no processes, messages or clocks are imitated. What a
 * neighbour holds is known with each chunk that it keeps, after {@link #NEWS_SECONDS}.
 */
final class FakeLinkRun {
    private static final double NEWS_SECONDS = 0.03;
    private static final double RETRY_SECONDS = 0.06;
    private static final double SILENCE_SECONDS = 10;
    private static final double LONGEST_SECONDS = 600;
    private static final double MOST_BACKLOG_CHUNKS = 1.5;
    private static final int AT_ONCE = 6;
    private static final int DRAWS_AT_ONCE = 4;
    private static final int PER_NEIGHBOUR = 2;
    private static final long MILLIS = 1_000;

    private final int chunks;
    private final double originSeconds;
    private final double boxSeconds;
    private final DistributionPolicy policy;
    private final Random random;
    private final OriginBudget budget;
    private final List<FakeBox> boxes = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Double> completions = new ArrayList<>();
    private final Set<String> silent = new HashSet<>();
    private double originFree;
    private int deadPercent;
    private int corruptPercent;
    private double deathSeconds;
    private int originChunks;
    private int rejected;
    private long sequence;

    private record Event(double at, long sequence, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
        }
    }

    private final class FakeBox {
        final String name;
        final ChunkPlanner planner;
        final BitSet held = new BitSet();
        final List<FakeBox> neighbours = new ArrayList<>();
        final List<FakeBox> followers = new ArrayList<>();
        double uplinkFree;
        double downlinkFree;
        int transfers;
        int draws;
        boolean alive = true;
        boolean retrying;

        FakeBox(int number) {
            name = "box-" + number;
            planner = ChunkPlanner.of(chunks, held, PER_NEIGHBOUR, RandomSource.XO_RO_SHI_RO_128_PP.create(number));
        }
    }

    FakeLinkRun(int count, int chunks, double originRate, double boxRate, DistributionPolicy policy, long seed) {
        this.chunks = chunks;
        this.originSeconds = 1 / originRate;
        this.boxSeconds = 1 / boxRate;
        this.policy = policy;
        this.random = new Random(seed);
        this.budget = OriginBudget.ofChunks(chunks);
        for (int number = 0; number < count; number++) {
            boxes.add(new FakeBox(number));
        }
        boxes.forEach(this::chooseNeighbours);
    }

    private void chooseNeighbours(FakeBox box) {
        List<FakeBox> others = new ArrayList<>(boxes);
        others.remove(box);
        Collections.shuffle(others, random);
        box.neighbours.addAll(others.subList(0, Math.min(NeighbourSelector.MAX_IN_OWN_HALL, others.size())));
        box.neighbours.forEach(neighbour -> neighbour.followers.add(box));
    }

    FakeLinkRun withFaults(int dead, int corrupt, double atSeconds) {
        deadPercent = dead;
        corruptPercent = corrupt;
        deathSeconds = atSeconds;
        return this;
    }

    void run() {
        boxes.forEach(box -> at(random.nextDouble() * NEWS_SECONDS, () -> pump(box, 0)));
        if (deadPercent > 0) {
            int dying = boxes.size() * deadPercent / 100;
            at(deathSeconds, () -> boxes.subList(0, dying).forEach(this::die));
        }
        while (!events.isEmpty() && events.peek().at() < LONGEST_SECONDS) {
            events.poll().action().run();
        }
    }

    double secondsTo(double share) {
        int alive = (int) boxes.stream().filter(box -> box.alive).count();
        int wanted = (int) Math.ceil(alive * share);
        return completions.size() < wanted ? Double.NaN : completions.get(wanted - 1);
    }

    double originCopies() {
        return (double) originChunks / chunks;
    }

    int rejectedChunks() {
        return rejected;
    }

    private void die(FakeBox box) {
        box.alive = false;
        at(deathSeconds + SILENCE_SECONDS, () -> silent.add(box.name));
        box.followers.forEach(follower -> follower.planner.clearNeighbour(box.name));
    }

    private void at(double seconds, Runnable action) {
        events.add(new Event(seconds, sequence++, action));
    }

    private void pump(FakeBox box, double now) {
        if (!box.alive || box.planner.isComplete()) {
            return;
        }
        while (box.transfers < AT_ONCE) {
            var next = box.planner.nextTransfer((long) (now * MILLIS));
            if (next.isEmpty()) {
                break;
            }
            transfer(box, next.get(), now);
        }
        BitSet unreachable = box.planner.unreachable();
        if (box.draws < DRAWS_AT_ONCE && !unreachable.isEmpty()) {
            OriginBudget.Request request = new OriginBudget.Request(
                    box.name, unreachable, DRAWS_AT_ONCE - box.draws, policy, silent, (long) (now * MILLIS));
            budget.grant(request).forEach(chunk -> draw(box, chunk, now));
        }
        if (box.transfers < AT_ONCE && !box.retrying) {
            box.retrying = true;
            at(now + RETRY_SECONDS, () -> {
                box.retrying = false;
                pump(box, now + RETRY_SECONDS);
            });
        }
    }

    private void transfer(FakeBox box, ChunkPlanner.Transfer transfer, double now) {
        FakeBox sender = box.neighbours.stream()
                .filter(neighbour -> neighbour.name.equals(transfer.neighbour()))
                .findFirst()
                .orElseThrow();
        box.transfers++;
        if (!sender.alive || sender.uplinkFree - now > MOST_BACKLOG_CHUNKS * boxSeconds) {
            TransferOutcome ending = sender.alive ? TransferOutcome.BUSY : TransferOutcome.FAILED;
            box.planner.transferEnded(transfer, ending, (long) (now * MILLIS));
            box.transfers--;
            return;
        }
        sender.uplinkFree = Math.max(sender.uplinkFree, now) + boxSeconds;
        double sent = sender.uplinkFree;
        at(sent, () -> {
            box.downlinkFree = Math.max(box.downlinkFree, sent - boxSeconds) + boxSeconds;
            double received = Math.max(sent, box.downlinkFree);
            at(received, () -> {
                box.transfers--;
                TransferOutcome ending = sender.alive ? ending() : TransferOutcome.FAILED;
                box.planner.transferEnded(transfer, ending, (long) (received * MILLIS));
                keep(box, transfer.chunk(), ending, received);
            });
        });
    }

    private void draw(FakeBox box, int chunk, double now) {
        box.draws++;
        box.planner.originFetchStarted(chunk);
        originFree = Math.max(originFree, now) + originSeconds;
        originChunks++;
        double received = Math.max(originFree, now + boxSeconds);
        at(received, () -> {
            box.draws--;
            TransferOutcome ending = ending();
            BitSet kept = new BitSet();
            BitSet failed = new BitSet();
            (ending == TransferOutcome.KEPT ? kept : failed).set(chunk);
            if (box.alive) {
                budget.completeGrants(kept, failed, (long) (received * MILLIS));
            }
            box.planner.originFetchEnded(chunk, ending);
            keep(box, chunk, ending, received);
        });
    }

    private TransferOutcome ending() {
        boolean corrupt = random.nextInt(100) < corruptPercent;
        rejected += corrupt ? 1 : 0;
        return corrupt ? TransferOutcome.CORRUPT : TransferOutcome.KEPT;
    }

    private void keep(FakeBox box, int chunk, TransferOutcome ending, double now) {
        if (box.alive && ending == TransferOutcome.KEPT) {
            box.held.set(chunk);
            if (box.planner.isComplete()) {
                completions.add(now);
            }
            at(
                    now + NEWS_SECONDS,
                    () -> box.followers.forEach(follower -> {
                        if (box.alive) {
                            follower.planner.updateNeighbour(box.name, box.held);
                            pump(follower, now + NEWS_SECONDS);
                        }
                    }));
        }
        pump(box, now);
    }
}
