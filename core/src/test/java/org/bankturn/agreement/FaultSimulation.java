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
 * One seeded schedule of faults against a group with its storage and its published state.
 *
 * <p>Boxes are killed, lose power in the middle of a store, lose their disks, are replaced by boxes at other addresses, are
 * cut off one way or both; messages are late, doubled, lost and out of order; clocks jump and stand still. Checked all the
 * while: one leader a term, one entry an index, no read older than what was acknowledged before it began. Checked at the
 * end, when all is whole again: the group works, and the newest acknowledged change is in force everywhere.
 */
final class FaultSimulation {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final long TICK_MILLIS = 10;
    private static final int STEPS = 900;
    private static final int MOST_MESSAGES = 300;
    private static final int MOST_LOST_DISKS = 3;
    private static final int SETTLE_ROUNDS = 500;
    private static final long JOIN_RETRY_MILLIS = 80;
    private static final long ALONE_MILLIS = 320;

    private final UniformRandomProvider random;
    private final SeededFault fault;
    private final Map<String, Box> boxes = new TreeMap<>();
    private final Set<String> removed = new HashSet<>();
    private final Set<String> cuts = new HashSet<>();
    private final List<Flight> flights = new ArrayList<>();
    private final Map<Long, LogEntry> accepted = new HashMap<>();
    private final Map<Long, Member> leaders = new HashMap<>();
    private long lives = 1;
    private long newestSent;
    private long newestAcknowledged;
    private int lostDisks;

    /** A message on its way. */
    private record Flight(String from, Ready.Outbound outbound) {}

    /** What waits for an entry: a version to be acknowledged, or the least version that a read must show. */
    private record Waiting(long term, long version, boolean read) {}

    /** A box, up or down. */
    private static final class Box {
        private final String name;
        private final ManualClock clock = ManualClock.startingAt(0);
        private CrashingDirectory device;
        private RaftNode agreement;
        private RaftStorage storage;
        private PublicationState state;
        private boolean clockStands;
        private long joinAskedMillis;
        private long heardLeaderMillis;
        private final Map<Long, Waiting> waiting = new HashMap<>();

        Box(String name) {
            this.name = name;
        }

        boolean isUp() {
            return agreement != null;
        }

        void down() {
            agreement = null;
            waiting.clear();
        }
    }

    FaultSimulation(long seed, SeededFault fault) {
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.fault = fault;
        SEEDS.forEach(name -> boxes.put(name, new Box(name)));
        boxes.values().forEach(box -> startEmpty(box, 1));
    }

    /** Plays the schedule; throws an AssertionError that says what went wrong. */
    void run() {
        for (int step = 0; step < STEPS; step++) {
            act(random.nextInt(100));
        }
        mendEverything();
        settle();
        checkEnd();
    }

    private void act(int choice) {
        if (choice < 24) {
            tickAll();
        } else if (choice < 30) {
            anyUp().ifPresent(this::put);
        } else if (choice < 33) {
            anyUp().ifPresent(this::read);
        } else if (choice < 45) {
            fault(choice - 33);
        } else {
            deliverAny();
        }
    }

    private void fault(int kind) {
        switch (kind) {
            case 0 -> anyUp().filter(box -> random.nextInt(4) == 0).ifPresent(Box::down);
            case 1, 2, 3 -> anyDown().ifPresent(this::startAgain);
            case 4 -> anyUp().filter(box -> random.nextInt(4) == 0).ifPresent(this::losePowerInStore);
            case 5 -> loseAllPower();
            case 6 -> loseDisk();
            case 7 -> replaceBox();
            case 8 -> cutOneWay();
            case 9 -> cuts.clear();
            case 10 -> any(List.copyOf(boxes.values())).ifPresent(box -> box.clock.advance(random.nextInt(300)));
            default -> any(List.copyOf(boxes.values())).ifPresent(this::stopOrMoveClock);
        }
    }

    private void stopOrMoveClock(Box box) {
        box.clockStands = !box.clockStands && random.nextBoolean();
    }

    // ---- starting and stopping

    private void startEmpty(Box box, long life) {
        boolean forms = life == 1 && SEEDS.contains(box.name);
        List<Member> first =
                forms ? SEEDS.stream().map(FaultSimulation::firstMember).toList() : List.of();
        box.device = new CrashingDirectory(Integer.MAX_VALUE, 0);
        try {
            RaftStorage.create(box.device, life, Snapshot.initial(first));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startAgain(box);
    }

    private static Member firstMember(String name) {
        return new Member(name, 1, name);
    }

    private void startAgain(Box box) {
        box.down();
        box.device = box.device.afterCrash();
        try {
            box.storage = RaftStorage.recover(box.device);
            long life = RaftStorage.readIncarnation(box.device).orElseThrow();
            Member self = new Member(box.name, life, box.name);
            box.agreement = RaftNode.recover(self, stored(box), SETTINGS, box.clock, random, asking -> true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        box.state = PublicationState.restore(box.agreement.snapshot().state());
        box.heardLeaderMillis = box.clock.millis();
    }

    private PersistentState stored(Box box) {
        PersistentState stored = box.storage.stored();
        return fault == SeededFault.TREATS_WHOLE_LOG_AS_COMMITTED
                ? new PersistentState(stored.vote(), stored.snapshot(), stored.entries(), Long.MAX_VALUE)
                : stored;
    }

    private void losePowerInStore(Box box) {
        box.device.stopAfter(random.nextInt(3), random.nextInt(40));
    }

    private void loseAllPower() {
        if (random.nextInt(10) > 0) {
            return;
        }
        boxes.values().stream().filter(Box::isUp).forEach(box -> {
            losePowerInStore(box);
            box.down();
        });
    }

    private void loseDisk() {
        if (random.nextInt(3) > 0 || lostDisks >= MOST_LOST_DISKS || !isWhole()) {
            return;
        }
        lostDisks++;
        anyUp().ifPresent(box -> {
            if (fault == SeededFault.REUSES_INCARNATION_AFTER_DISK_LOSS) {
                startAsFormerMember(box);
            } else {
                startEmpty(box, comesBackAsItWas(box) ? 1 : ++lives);
            }
        });
    }

    private boolean comesBackAsItWas(Box box) {
        return fault == SeededFault.BOOTSTRAPS_AGAIN_AFTER_DISK_LOSS && SEEDS.contains(box.name);
    }

    /** The seeded fault: the identity outlived the disk, the vote and the log did not. */
    private void startAsFormerMember(Box box) {
        RaftNode leader = leader().orElseThrow();
        Member former = leader.members().stream()
                .filter(member -> member.box().equals(box.name))
                .findFirst()
                .orElse(firstMember(box.name));
        box.device = new CrashingDirectory(Integer.MAX_VALUE, 0);
        try {
            RaftStorage.create(box.device, former.incarnation(), Snapshot.initial(leader.members()));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startAgain(box);
    }

    private void replaceBox() {
        if (random.nextInt(6) > 0 || lostDisks >= MOST_LOST_DISKS || !isWhole()) {
            return;
        }
        lostDisks++;
        anyUp().ifPresent(box -> {
            box.down();
            removed.add(box.name);
            boxes.remove(box.name);
            Box other = new Box("new-" + ++lives);
            other.clock.advance(box.clock.millis());
            boxes.put(other.name, other);
            startEmpty(other, lives);
        });
    }

    private void cutOneWay() {
        List<String> names = List.copyOf(boxes.keySet());
        cuts.add(names.get(random.nextInt(names.size())) + ">" + names.get(random.nextInt(names.size())));
    }

    /** Returns true if a disk may be lost: every member still has its own, and no change of members is under way. */
    private boolean isWhole() {
        Optional<RaftNode> leader = leader();
        return leader.isPresent()
                && leader.get().members().size() >= SEEDS.size()
                && leader.get().commitIndex() == leader.get().lastIndex()
                && leader.get().members().stream().allMatch(this::hasItsDisk);
    }

    private boolean hasItsDisk(Member member) {
        Box box = boxes.get(member.box());
        try {
            return box != null
                    && RaftStorage.readIncarnation(box.device)
                            .filter(life -> life == member.incarnation())
                            .isPresent();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private Optional<RaftNode> leader() {
        return boxes.values().stream()
                .filter(Box::isUp)
                .map(box -> box.agreement)
                .filter(RaftNode::isEstablishedLeader)
                .max((one, other) -> Long.compare(one.term(), other.term()));
    }

    // ---- time and messages

    private void tickAll() {
        for (Box box : List.copyOf(boxes.values())) {
            if (!box.clockStands) {
                box.clock.advance(TICK_MILLIS);
            }
            if (box.isUp()) {
                box.agreement.tick();
                askToJoinIfNeeded(box);
                carryOut(box);
            }
        }
    }

    private void askToJoinIfNeeded(Box box) {
        long now = box.clock.millis();
        if (box.agreement.leader().isPresent()) {
            box.heardLeaderMillis = now;
        }
        boolean outside = !box.agreement.members().contains(box.agreement.self());
        boolean alone = now - box.heardLeaderMillis > ALONE_MILLIS;
        if ((outside || alone) && now - box.joinAskedMillis >= JOIN_RETRY_MILLIS) {
            box.joinAskedMillis = now;
            box.agreement.requestJoin(boxes.keySet().stream()
                    .filter(name -> !name.equals(box.name))
                    .map(name -> new Member(name, 0, name))
                    .toList());
        }
    }

    /** Delivers a message taken at random; it is doubled or lost one time in ten each. */
    private void deliverAny() {
        if (flights.isEmpty()) {
            return;
        }
        int chosen = random.nextInt(flights.size());
        int fate = random.nextInt(10);
        Flight flight = fate == 0 ? flights.get(chosen) : flights.remove(chosen);
        if (fate != 1) {
            deliver(flight);
        }
    }

    private void deliver(Flight flight) {
        Box to = boxes.get(flight.outbound().to().box());
        boolean cut = cuts.contains(flight.from() + ">" + flight.outbound().to().box());
        if (to != null && to.isUp() && !cut) {
            to.agreement.receive(flight.outbound().message());
            carryOut(to);
        }
    }

    // ---- what a member's thread does

    private void carryOut(Box box) {
        Ready ready = box.agreement.ready();
        if (fault == SeededFault.SENDS_BEFORE_SYNC) {
            send(box, ready);
        }
        try {
            if (ready.mustSync()) {
                box.storage.store(ready);
            }
        } catch (IOException e) {
            box.down();
            return;
        }
        if (fault != SeededFault.SENDS_BEFORE_SYNC) {
            send(box, ready);
        }
        if (ready.installed() != null) {
            box.state = PublicationState.restore(ready.installed().state());
        }
        ready.committed().forEach(entry -> apply(box, entry));
        checkLeader(box.agreement);
        compactSometimes(box);
    }

    private void send(Box box, Ready ready) {
        ready.messages().forEach(message -> flights.add(new Flight(box.name, message)));
        while (flights.size() > MOST_MESSAGES) {
            flights.remove(random.nextInt(flights.size()));
        }
    }

    private void apply(Box box, LogEntry entry) {
        LogEntry before = accepted.putIfAbsent(entry.index(), entry);
        boolean same =
                before == null || (before.term() == entry.term() && Arrays.equals(before.command(), entry.command()));
        check(same, "entry " + entry.index() + " reverted at " + box.name);
        if (entry.command().length > 0) {
            box.state.apply(
                    entry.index(), MessagePackCodec.instance().decode(entry.command(), PublicationCommand.class));
        }
        Waiting waiting = box.waiting.remove(entry.index());
        if (waiting != null && waiting.term() == entry.term()) {
            answer(box, waiting);
        }
    }

    private void answer(Box box, Waiting waiting) {
        long shown = box.state.documentVersion();
        if (waiting.read()) {
            check(shown >= waiting.version(), "read " + shown + ", acknowledged before " + waiting.version());
        } else {
            newestAcknowledged = Math.max(newestAcknowledged, waiting.version());
        }
    }

    private void compactSometimes(Box box) {
        long applied = box.agreement.commitIndex();
        if (random.nextInt(60) > 0 || applied <= box.agreement.snapshot().index()) {
            return;
        }
        try {
            box.storage.compact(box.agreement.compact(applied, box.state.snapshot()));
        } catch (IOException e) {
            box.down();
        }
    }

    private void checkLeader(RaftNode member) {
        if (member.role() == Role.LEADER) {
            Member before = leaders.putIfAbsent(member.term(), member.self());
            check(before == null || before.equals(member.self()), "two leaders in term " + member.term());
        }
    }

    // ---- callers

    private void put(Box box) {
        long version = ++newestSent;
        submit(box, new PublicationCommand.PutDocument(version, new byte[] {1}), version, false);
    }

    private void read(Box box) {
        if (fault == SeededFault.READS_WITHOUT_CONFIRMATION && box.agreement.isEstablishedLeader()) {
            answer(box, new Waiting(0, newestAcknowledged, true));
            return;
        }
        submit(box, new PublicationCommand.Confirm(), newestAcknowledged, true);
    }

    private void submit(Box box, PublicationCommand command, long version, boolean read) {
        if (!box.agreement.isEstablishedLeader()) {
            return;
        }
        OptionalLong index = box.agreement.propose(MessagePackCodec.instance().encode(command));
        index.ifPresent(at -> box.waiting.put(at, new Waiting(box.agreement.term(), version, read)));
        carryOut(box);
    }

    // ---- the end

    private void mendEverything() {
        cuts.clear();
        boxes.values().forEach(box -> box.clockStands = false);
        boxes.values().stream().filter(box -> !box.isUp()).forEach(this::startAgain);
        boxes.values().forEach(box -> box.device.stopAfter(Integer.MAX_VALUE, 0));
    }

    private void settle() {
        for (int round = 0; round < SETTLE_ROUNDS; round++) {
            tickAll();
            for (int step = 0; step < 100 && !flights.isEmpty(); step++) {
                deliver(flights.remove(0));
            }
        }
    }

    private void checkEnd() {
        RaftNode leader = leader().orElseThrow(() -> new AssertionError("no leader at the end: " + describe()));
        put(boxes.get(leader.self().box()));
        settle();
        check(newestAcknowledged == newestSent, "a change is not acknowledged at the end: " + describe());
        for (Box box : boxes.values()) {
            check(leader.members().contains(box.agreement.self()), box.name + " is outside at the end");
            long shown = box.state.documentVersion();
            check(
                    shown == newestAcknowledged,
                    box.name + " shows " + shown + ", not " + newestAcknowledged + ": " + describe());
        }
    }

    private String describe() {
        return boxes.values().stream()
                .map(box -> box.agreement + " of "
                        + box.agreement.members().stream().map(Member::box).toList())
                .toList()
                .toString();
    }

    private static void check(boolean holds, String otherwise) {
        if (!holds) {
            throw new AssertionError(otherwise);
        }
    }

    // ---- choosing

    private Optional<Box> anyUp() {
        return any(boxes.values().stream().filter(Box::isUp).toList());
    }

    private Optional<Box> anyDown() {
        return any(boxes.values().stream().filter(box -> !box.isUp()).toList());
    }

    private Optional<Box> any(List<Box> some) {
        return some.isEmpty() ? Optional.empty() : Optional.of(some.get(random.nextInt(some.size())));
    }
}
