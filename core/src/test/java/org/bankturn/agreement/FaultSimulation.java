package org.bankturn.agreement;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.storage.CrashingDirectory;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.ManualClock;

/**
 * A deterministic simulation of a Raft group, its storage and its published state under random faults.
 *
 * <p>Faults include crashes, torn writes, lost disks, replaced boxes, network partitions, message loss, duplication and
 * reordering, and clock jumps. Checks throughout that each term has one leader, that each index has one entry, and that
 * reads are linearizable; checks after all faults are repaired that the group is available and every box has the latest
 * change.
 */
final class FaultSimulation {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final List<String> INITIAL_BOXES = List.of("a", "b", "c");
    private static final long TICK_MILLIS = 10;
    private static final int STEPS = 900;
    private static final int MAX_IN_FLIGHT = 300;
    private static final int MAX_LOST_DISKS = 3;
    private static final int SETTLE_ROUNDS = 500;
    private static final long JOIN_RETRY_MILLIS = 80;
    private static final long LEADERLESS_JOIN_MILLIS = 320;

    private final UniformRandomProvider random;
    private final SeededFault fault;
    private final Map<String, Box> boxes = new TreeMap<>();
    private final Set<String> removed = new HashSet<>();
    private final Set<String> cutLinks = new HashSet<>();
    private final List<InFlightMessage> inFlight = new ArrayList<>();
    private final Map<Long, LogEntry> committed = new HashMap<>();
    private final Map<Long, Member> leaders = new HashMap<>();
    private long lastIncarnation = 1;
    private long newestSent;
    private long newestAcknowledged;
    private int lostDisks;

    /** A message that has been sent but not delivered. */
    private record InFlightMessage(String from, Ready.Outbound outbound) {}

    /** A request waiting for its entry: a write of a version, or a read that must return at least this version. */
    private record PendingRequest(long term, long version, boolean read) {}

    /** A simulated box. */
    private static final class Box {
        private final String name;
        private final ManualClock clock = ManualClock.startingAt(0);
        private CrashingDirectory disk;
        private RaftNode node;
        private RaftStorage storage;
        private PublicationState state;
        private boolean clockStopped;
        private long lastJoinRequestMillis;
        private long lastLeaderContactMillis;
        private final Map<Long, PendingRequest> pending = new HashMap<>();

        Box(String name) {
            this.name = name;
        }

        boolean isUp() {
            return node != null;
        }

        void crash() {
            node = null;
            pending.clear();
        }
    }

    FaultSimulation(long seed, SeededFault fault) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.fault = fault;
        INITIAL_BOXES.forEach(name -> boxes.put(name, new Box(name)));
        boxes.values().forEach(box -> startEmpty(box, 1));
    }

    /** Runs the simulation; throws an AssertionError if a check fails. */
    void run() {
        for (int step = 0; step < STEPS; step++) {
            step(random.nextInt(100));
        }
        repairAll();
        runRounds();
        checkFinalState();
    }

    private void step(int choice) {
        if (choice < 24) {
            tickAll();
        } else if (choice < 30) {
            anyUp().ifPresent(this::put);
        } else if (choice < 33) {
            readEverywhere();
        } else if (choice < 45) {
            injectFault(choice - 33);
        } else {
            deliverRandom();
        }
    }

    private void injectFault(int kind) {
        switch (kind) {
            case 0 -> anyUp().filter(box -> random.nextInt(4) == 0).ifPresent(Box::crash);
            case 1, 2, 3 -> anyDown().ifPresent(this::restart);
            case 4 -> anyUp().filter(box -> random.nextInt(4) == 0).ifPresent(this::losePowerInStore);
            case 5 -> loseAllPower();
            case 6 -> loseDisk();
            case 7 -> replaceBox();
            case 8 -> cutLink();
            case 9 -> cutLinks.clear();
            case 10 -> any(List.copyOf(boxes.values())).ifPresent(box -> box.clock.advance(random.nextInt(300)));
            default -> any(List.copyOf(boxes.values())).ifPresent(this::toggleClock);
        }
    }

    private void toggleClock(Box box) {
        box.clockStopped = !box.clockStopped && random.nextBoolean();
    }

    // ---- Starting and stopping

    private void startEmpty(Box box, long incarnation) {
        boolean bootstraps = incarnation == 1 && INITIAL_BOXES.contains(box.name);
        List<Member> first = bootstraps
                ? INITIAL_BOXES.stream().map(FaultSimulation::firstMember).toList()
                : List.of();
        box.disk = new CrashingDirectory(Integer.MAX_VALUE, 0);
        try {
            RaftStorage.create(box.disk, incarnation, Snapshot.initial(first));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        restart(box);
    }

    private static Member firstMember(String name) {
        return new Member(name, 1, name);
    }

    private void restart(Box box) {
        box.crash();
        box.disk = box.disk.afterCrash();
        try {
            box.storage = RaftStorage.recover(box.disk);
            long incarnation = RaftStorage.readIncarnation(box.disk).orElseThrow();
            Member self = new Member(box.name, incarnation, box.name);
            box.node = RaftNode.recover(self, stored(box), SETTINGS, box.clock, random, joiner -> true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        box.state = PublicationState.restore(box.node.snapshot().state());
        box.lastLeaderContactMillis = box.clock.millis();
    }

    private PersistentState stored(Box box) {
        PersistentState stored = box.storage.stored();
        return fault == SeededFault.TREATS_WHOLE_LOG_AS_COMMITTED
                ? new PersistentState(stored.vote(), stored.snapshot(), stored.entries(), Long.MAX_VALUE)
                : stored;
    }

    private void losePowerInStore(Box box) {
        box.disk.stopAfter(random.nextInt(3), random.nextInt(40));
    }

    private void loseAllPower() {
        if (random.nextInt(10) > 0) {
            return;
        }
        boxes.values().stream().filter(Box::isUp).forEach(box -> {
            losePowerInStore(box);
            box.crash();
        });
    }

    private void loseDisk() {
        if (random.nextInt(3) > 0 || lostDisks >= MAX_LOST_DISKS || !canLoseDisk()) {
            return;
        }
        lostDisks++;
        anyUp().ifPresent(box -> {
            if (fault == SeededFault.REUSES_INCARNATION_AFTER_DISK_LOSS) {
                restartWithOldIdentity(box);
            } else {
                startEmpty(box, bootstrapsAgain(box) ? 1 : ++lastIncarnation);
            }
        });
    }

    private boolean bootstrapsAgain(Box box) {
        return fault == SeededFault.BOOTSTRAPS_AGAIN_AFTER_DISK_LOSS && INITIAL_BOXES.contains(box.name);
    }

    /** Restarts a box with its old incarnation but without its vote and log. */
    private void restartWithOldIdentity(Box box) {
        RaftNode leader = leader().orElseThrow();
        Member former = leader.members().stream()
                .filter(member -> member.box().equals(box.name))
                .findFirst()
                .orElse(firstMember(box.name));
        box.disk = new CrashingDirectory(Integer.MAX_VALUE, 0);
        try {
            RaftStorage.create(box.disk, former.incarnation(), Snapshot.initial(leader.members()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        restart(box);
    }

    private void replaceBox() {
        if (random.nextInt(6) > 0 || lostDisks >= MAX_LOST_DISKS || !canLoseDisk()) {
            return;
        }
        lostDisks++;
        anyUp().ifPresent(box -> {
            box.crash();
            removed.add(box.name);
            boxes.remove(box.name);
            Box other = new Box("new-" + ++lastIncarnation);
            other.clock.advance(box.clock.millis());
            boxes.put(other.name, other);
            startEmpty(other, lastIncarnation);
        });
    }

    private void cutLink() {
        List<String> names = List.copyOf(boxes.keySet());
        cutLinks.add(names.get(random.nextInt(names.size())) + ">" + names.get(random.nextInt(names.size())));
    }

    /** Returns true if every member has its original disk and no membership change is pending. */
    private boolean canLoseDisk() {
        Optional<RaftNode> leader = leader();
        return leader.isPresent()
                && leader.get().members().size() >= INITIAL_BOXES.size()
                && leader.get().commitIndex() == leader.get().lastIndex()
                && leader.get().members().stream().allMatch(this::hasOriginalDisk);
    }

    private boolean hasOriginalDisk(Member member) {
        Box box = boxes.get(member.box());
        try {
            return box != null
                    && RaftStorage.readIncarnation(box.disk)
                            .filter(incarnation -> incarnation == member.incarnation())
                            .isPresent();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<RaftNode> leader() {
        return boxes.values().stream()
                .filter(Box::isUp)
                .map(box -> box.node)
                .filter(RaftNode::isEstablishedLeader)
                .max((one, other) -> Long.compare(one.term(), other.term()));
    }

    // ---- Time and messages

    private void tickAll() {
        for (Box box : List.copyOf(boxes.values())) {
            if (!box.clockStopped) {
                box.clock.advance(TICK_MILLIS);
            }
            if (box.isUp()) {
                box.node.tick();
                requestJoinIfNeeded(box);
                process(box);
            }
        }
    }

    private void requestJoinIfNeeded(Box box) {
        long now = box.clock.millis();
        if (box.node.leader().isPresent()) {
            box.lastLeaderContactMillis = now;
        }
        boolean outside = !box.node.members().contains(box.node.self());
        boolean leaderless = now - box.lastLeaderContactMillis > LEADERLESS_JOIN_MILLIS;
        if ((outside || leaderless) && now - box.lastJoinRequestMillis >= JOIN_RETRY_MILLIS) {
            box.lastJoinRequestMillis = now;
            box.node.requestJoin(boxes.keySet().stream()
                    .filter(name -> !name.equals(box.name))
                    .map(name -> new Member(name, 0, name))
                    .toList());
        }
    }

    /** Delivers a random message; duplicates or drops it with a probability of 10% each. */
    private void deliverRandom() {
        if (inFlight.isEmpty()) {
            return;
        }
        int chosen = random.nextInt(inFlight.size());
        int outcome = random.nextInt(10);
        InFlightMessage message = outcome == 0 ? inFlight.get(chosen) : inFlight.remove(chosen);
        if (outcome != 1) {
            deliver(message);
        }
    }

    private void deliver(InFlightMessage message) {
        Box to = boxes.get(message.outbound().to().box());
        boolean cut =
                cutLinks.contains(message.from() + ">" + message.outbound().to().box());
        if (to != null && to.isUp() && !cut) {
            to.node.receive(message.outbound().message());
            process(to);
        }
    }

    // ---- Processing of Ready

    private void process(Box box) {
        Ready ready = box.node.ready();
        if (fault == SeededFault.SENDS_BEFORE_SYNC) {
            send(box, ready);
        }
        try {
            if (ready.mustSync()) {
                box.storage.store(ready);
            }
        } catch (IOException e) {
            box.crash();
            return;
        }
        if (fault != SeededFault.SENDS_BEFORE_SYNC) {
            send(box, ready);
        }
        if (ready.installed() != null) {
            box.state = PublicationState.restore(ready.installed().state());
        }
        ready.committed().forEach(entry -> apply(box, entry));
        checkLeader(box.node);
        compactSometimes(box);
    }

    private void send(Box box, Ready ready) {
        ready.messages().forEach(message -> inFlight.add(new InFlightMessage(box.name, message)));
        while (inFlight.size() > MAX_IN_FLIGHT) {
            inFlight.remove(random.nextInt(inFlight.size()));
        }
    }

    private void apply(Box box, LogEntry entry) {
        LogEntry previous = committed.putIfAbsent(entry.index(), entry);
        boolean same = previous == null
                || (previous.term() == entry.term() && Arrays.equals(previous.command(), entry.command()));
        check(same, "committed entry " + entry.index() + " differs on " + box.name);
        if (entry.command().length > 0) {
            box.state.apply(
                    entry.index(), MessagePackCodec.instance().decode(entry.command(), PublicationCommand.class));
        }
        PendingRequest request = box.pending.remove(entry.index());
        if (request != null && request.term() == entry.term()) {
            complete(box, request);
        }
    }

    private void complete(Box box, PendingRequest request) {
        long visible = box.state.documentVersion();
        if (request.read()) {
            check(
                    visible >= request.version(),
                    "read returned version " + visible + " after version " + request.version() + " was acknowledged");
        } else {
            newestAcknowledged = Math.max(newestAcknowledged, request.version());
        }
    }

    private void compactSometimes(Box box) {
        long applied = box.node.commitIndex();
        if (random.nextInt(60) > 0 || applied <= box.node.snapshot().index()) {
            return;
        }
        try {
            box.storage.compact(box.node.compact(applied, box.state.snapshot()));
        } catch (IOException e) {
            box.crash();
        }
    }

    private void checkLeader(RaftNode member) {
        if (member.role() == Role.LEADER) {
            Member previous = leaders.putIfAbsent(member.term(), member.self());
            check(previous == null || previous.equals(member.self()), "two leaders in term " + member.term());
        }
    }

    // ---- Clients

    private void put(Box box) {
        long version = ++newestSent;
        submit(box, new PublicationCommand.PutDocument(version, new byte[] {1}), version, false);
    }

    /** Reads at every box, since a former leader that still serves reads is rarely the one drawn. */
    private void readEverywhere() {
        boxes.values().stream().filter(Box::isUp).forEach(this::read);
    }

    private void read(Box box) {
        if (fault == SeededFault.READS_WITHOUT_CONFIRMATION && box.node.isEstablishedLeader()) {
            complete(box, new PendingRequest(0, newestAcknowledged, true));
            return;
        }
        submit(box, new PublicationCommand.Confirm(), newestAcknowledged, true);
    }

    private void submit(Box box, PublicationCommand command, long version, boolean read) {
        if (!box.node.isEstablishedLeader()) {
            return;
        }
        OptionalLong index = box.node.propose(MessagePackCodec.instance().encode(command));
        index.ifPresent(entryIndex -> box.pending.put(entryIndex, new PendingRequest(box.node.term(), version, read)));
        process(box);
    }

    // ---- Final state

    private void repairAll() {
        cutLinks.clear();
        boxes.values().forEach(box -> box.clockStopped = false);
        boxes.values().stream().filter(box -> !box.isUp()).forEach(this::restart);
        boxes.values().forEach(box -> box.disk.stopAfter(Integer.MAX_VALUE, 0));
    }

    private void runRounds() {
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            tickAll();
            for (int step = 0; step < 100 && !inFlight.isEmpty(); step++) {
                deliver(inFlight.remove(0));
            }
        }
    }

    private void checkFinalState() {
        RaftNode leader = leader().orElseThrow(() -> new AssertionError("no leader after repair: " + describe()));
        put(boxes.get(leader.self().box()));
        runRounds();
        check(newestAcknowledged == newestSent, "change not acknowledged after repair: " + describe());
        for (Box box : boxes.values()) {
            check(leader.members().contains(box.node.self()), box.name + " is not a member after repair");
            long visible = box.state.documentVersion();
            check(
                    visible == newestAcknowledged,
                    box.name + " has version " + visible + ", expected " + newestAcknowledged + ": " + describe());
        }
    }

    private String describe() {
        return boxes.values().stream()
                .map(box -> box.node + " of "
                        + box.node.members().stream().map(Member::box).toList())
                .toList()
                .toString();
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    // ---- Random selection

    private Optional<Box> anyUp() {
        return any(boxes.values().stream().filter(Box::isUp).toList());
    }

    private Optional<Box> anyDown() {
        return any(boxes.values().stream().filter(box -> !box.isUp()).toList());
    }

    private Optional<Box> any(List<Box> candidates) {
        return candidates.isEmpty() ? Optional.empty() : Optional.of(candidates.get(random.nextInt(candidates.size())));
    }
}
