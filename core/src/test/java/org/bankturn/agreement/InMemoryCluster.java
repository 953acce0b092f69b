package org.bankturn.agreement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.agreement.Ready.Outbound;
import org.bankturn.time.ManualClock;

/** A Raft group connected by an in-memory network that the test steps; checks leader uniqueness and log consistency. */
final class InMemoryCluster {
    static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4);
    private static final long JOIN_RETRY_MILLIS = 80;

    final ManualClock clock = ManualClock.startingAt(0);
    final UniformRandomProvider random;
    final Map<String, RaftNode> running = new TreeMap<>();
    final Map<String, PersistentState> disks = new HashMap<>();
    final Map<Long, LogEntry> committed = new TreeMap<>();
    final Map<Long, Member> leaders = new HashMap<>();
    final List<Outbound> inFlight = new ArrayList<>();
    private final List<Member> initialMembers;
    private final Map<String, List<Member>> contacts = new HashMap<>();
    private final Map<String, Long> lastJoinRequestMillis = new HashMap<>();
    private final RaftSettings settings;
    private final Set<String> slowBoxes = new HashSet<>();
    private final Set<String> servedSlowBoxes = new HashSet<>();
    private long lastIncarnation = 1;

    InMemoryCluster(long seed, String... boxes) {
        this(SETTINGS, seed, boxes);
    }

    InMemoryCluster(RaftSettings settings, long seed, String... boxes) {
        this.settings = settings;
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        initialMembers =
                List.of(boxes).stream().map(box -> new Member(box, 1, box)).toList();
        for (Member member : initialMembers) {
            disks.put(member.box(), new PersistentState(Vote.NONE, Snapshot.initial(initialMembers), List.of(), 0));
            start(member);
        }
    }

    private void start(Member member) {
        running.put(
                member.box(),
                RaftNode.recover(member, disks.get(member.box()), settings, clock, random, joiner -> true));
    }

    void restart(String box) {
        start(running.get(box).self());
    }

    void stop(String box) {
        running.remove(box);
    }

    /** Starts a stopped box with its existing disk. */
    void startStopped(Member member) {
        start(member);
    }

    /** Starts a new or existing box with an empty disk. */
    void startWithEmptyDisk(String box) {
        lastIncarnation++;
        disks.put(box, new PersistentState(Vote.NONE, Snapshot.initial(List.of()), List.of(), 0));
        start(new Member(box, lastIncarnation, box));
    }

    /** Starts a new or existing box with an empty disk that knows no other boxes than the given ones. */
    void startWithEmptyDisk(String box, List<String> knownBoxes) {
        contacts.put(
                box,
                knownBoxes.stream().map(known -> new Member(known, 0, known)).toList());
        startWithEmptyDisk(box);
    }

    void transferLeadership() {
        RaftNode member = leader();
        member.transferLeadership();
        process(member);
    }

    void tickAll() {
        clock.advance(10);
        for (RaftNode member : List.copyOf(running.values())) {
            member.tick();
            boolean outside = member.members().stream().noneMatch(member.self()::equals);
            if (outside || member.leader().isEmpty()) {
                requestJoin(member);
            }
            process(member);
        }
    }

    private void requestJoin(RaftNode member) {
        List<Member> known = contacts.get(member.self().box());
        if (known == null) {
            member.requestJoin(initialMembers);
            return;
        }
        long last = lastJoinRequestMillis.getOrDefault(member.self().box(), Long.MIN_VALUE / 2);
        if (clock.millis() - last >= JOIN_RETRY_MILLIS) {
            lastJoinRequestMillis.put(member.self().box(), clock.millis());
            Set<Member> asked = new LinkedHashSet<>(member.members());
            asked.addAll(known);
            asked.remove(member.self());
            member.requestJoin(List.copyOf(asked));
        }
    }

    /** Delivers a random message; if {@code faulty}, duplicates or drops it with a probability of 10% each. */
    void deliverRandom(boolean faulty) {
        if (inFlight.isEmpty()) {
            return;
        }
        int chosen = random.nextInt(inFlight.size());
        if (mustWait(inFlight.get(chosen))) {
            return;
        }
        int fault = faulty ? random.nextInt(10) : 9;
        Outbound outbound = fault == 0 ? inFlight.get(chosen) : inFlight.remove(chosen);
        RaftNode member = running.get(outbound.to().box());
        if (member == null) {
            inFlight.remove(outbound);
            return;
        }
        boolean sameIncarnation =
                member.self().equals(outbound.to()) || outbound.message() instanceof RaftMessage.JoinRequest;
        if (fault != 1 && sameIncarnation) {
            member.receive(outbound.message());
            process(member);
        }
    }

    /** Delivers from now on no more than one message with entries or a snapshot to a box in each round. */
    void slowDown(String box) {
        slowBoxes.add(box);
    }

    /** Delivers to all boxes at full speed again. */
    void endSlowness() {
        slowBoxes.clear();
    }

    private boolean mustWait(Outbound outbound) {
        boolean large = outbound.message() instanceof RaftMessage.SnapshotRequest
                || (outbound.message() instanceof RaftMessage.AppendRequest append
                        && !append.entries().isEmpty());
        String box = outbound.to().box();
        return large && slowBoxes.contains(box) && !servedSlowBoxes.add(box);
    }

    /** Delivers the oldest message. */
    void deliverOldest() {
        Outbound outbound = inFlight.remove(0);
        RaftNode member = running.get(outbound.to().box());
        if (member != null) {
            member.receive(outbound.message());
            process(member);
        }
    }

    /** Delivers all messages in order, except those to the given box, of which it delivers the oldest only. */
    void deliverWithSlowLinkTo(String slowBox) {
        List<Outbound> kept = new ArrayList<>();
        boolean delivered = false;
        while (!inFlight.isEmpty()) {
            boolean slow = inFlight.get(0).to().box().equals(slowBox);
            if (slow && delivered) {
                kept.add(inFlight.remove(0));
            } else {
                delivered |= slow;
                deliverOldest();
            }
        }
        inFlight.addAll(kept);
    }

    void runRounds(int rounds) {
        runRounds(rounds, false);
    }

    void runRounds(int rounds, boolean faulty) {
        for (int round = 0; round < rounds; round++) {
            tickAll();
            servedSlowBoxes.clear();
            for (int step = 0; step < 400 && !inFlight.isEmpty(); step++) {
                deliverRandom(faulty);
            }
        }
    }

    boolean hasLeader() {
        return running.values().stream().anyMatch(RaftNode::isEstablishedLeader);
    }

    RaftNode leader() {
        return running.values().stream()
                .filter(RaftNode::isEstablishedLeader)
                .max((one, other) -> Long.compare(one.term(), other.term()))
                .orElseThrow();
    }

    void propose(RaftNode member, String command) {
        member.propose(command.getBytes(StandardCharsets.UTF_8));
        process(member);
    }

    void compact(String box) {
        RaftNode member = running.get(box);
        if (member.commitIndex() > member.snapshot().index()) {
            Snapshot snapshot = member.compact(member.commitIndex(), new byte[0]);
            PersistentState disk = disks.get(box);
            List<LogEntry> kept = disk.entries().stream()
                    .filter(entry -> entry.index() > snapshot.index())
                    .toList();
            disks.put(
                    box,
                    new PersistentState(disk.vote(), snapshot, kept, Math.max(disk.commitIndex(), snapshot.index())));
        }
    }

    private void process(RaftNode member) {
        Ready ready = member.ready();
        store(member.self().box(), ready);
        inFlight.addAll(ready.messages());
        for (LogEntry entry : ready.committed()) {
            LogEntry previous = committed.putIfAbsent(entry.index(), entry);
            if (previous != null && (previous.term() != entry.term() || !sameCommand(previous, entry))) {
                throw new AssertionError("committed entry " + entry.index() + " was replaced");
            }
        }
        if (member.role() == Role.LEADER) {
            Member previous = leaders.putIfAbsent(member.term(), member.self());
            if (previous != null && !previous.equals(member.self())) {
                throw new AssertionError("two leaders in term " + member.term());
            }
        }
    }

    private static boolean sameCommand(LogEntry one, LogEntry other) {
        return Arrays.equals(one.command(), other.command());
    }

    private void store(String box, Ready ready) {
        PersistentState disk = disks.get(box);
        Vote vote = ready.vote() != null ? ready.vote() : disk.vote();
        Snapshot snapshot = ready.installed() != null ? ready.installed() : disk.snapshot();
        List<LogEntry> entries = new ArrayList<>(ready.installed() != null ? List.of() : disk.entries());
        for (LogEntry entry : ready.entries()) {
            entries.removeIf(stored -> stored.index() >= entry.index());
            entries.add(entry);
        }
        long committed = ready.mustSync() ? ready.commitIndex() : disk.commitIndex();
        disks.put(box, new PersistentState(vote, snapshot, entries, committed));
    }
}
