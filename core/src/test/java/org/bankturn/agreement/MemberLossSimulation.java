package org.bankturn.agreement;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * A simulation of a Raft group in virtual time that loses up to as many members at a time as it is to tolerate, again and
 * again, as soon as the members that came for the last ones have had their time to catch up.
 *
 * <p>A member that is lost is replaced by an empty one at another address, or loses its disk and returns. Between the
 * losses, leaders change. Checks after each round that the running boxes and no others are members, that every entry
 * acknowledged before is there, and that a further one is acknowledged.
 */
final class MemberLossSimulation {
    /** The greatest number of members that may be lost at the same time; a group of three tolerates one. */
    private static final int MAX_TOLERATED_LOSSES = 2;

    /** About ten entries, so that few messages are on their way to a slow box. */
    private static final int MAX_BYTES_UNDER_WAY = 800;

    /** Changes a round, more than the entries of a message, which a slow box gets. */
    private static final int CHANGES_PER_ROUND = 6;

    private static final int ROUNDS = 8;
    private static final int SEEDS = 3;

    /** The time in steps of ten milliseconds that a box is away before it or its successor starts. */
    private static final int MAX_STEPS_AWAY = 40;

    /** The time to catch up in steps of ten milliseconds: twelve election timeouts. */
    private static final int CATCH_UP_STEPS = 120;

    private static final int FORMATION_STEPS = 200;
    private static final int ACKNOWLEDGEMENT_STEPS = 60;

    private final InMemoryCluster cluster;
    private final Contacts contacts;
    private final Network network;
    private final int toleratedLosses;
    private final RaftSettings settings;
    private final Set<String> boxes = new TreeSet<>();
    private final List<String> acknowledged = new ArrayList<>();
    private int startedBoxes;
    private boolean hasFormed;

    /** Which members a box with an empty disk knows. */
    enum Contacts {
        /** All boxes that run. */
        ALL,
        /** Three boxes, which are fixed when the empty one starts; one of them at least is a member. */
        THREE_SEEDS
    }

    /** How the network treats messages. */
    enum Network {
        /** Delivers every message once. */
        RELIABLE,
        /** Drops and duplicates a tenth of all messages. */
        LOSSY,
        /**
         * Delivers one message with entries a round to a box that lost its disk, while changes are proposed in each round,
         * so that the box copies the log until the next members are lost.
         */
        SLOW_COPIES
    }

    /**
     * Forms a group.
     *
     * @param seed the seed of all random choices
     * @param size the number of boxes
     * @param contacts which members a box with an empty disk knows, not null
     * @param network how messages are treated, not null
     */
    MemberLossSimulation(long seed, int size, Contacts contacts, Network network) {
        this.contacts = contacts;
        this.network = network;
        this.toleratedLosses = (size - 1) / 2 < MAX_TOLERATED_LOSSES ? 1 : MAX_TOLERATED_LOSSES;
        this.settings = new RaftSettings(100, 20, 4, RaftSettings.minMembersFor(toleratedLosses), MAX_BYTES_UNDER_WAY);
        List<String> first = new ArrayList<>();
        for (int box = 0; box < SEEDS; box++) {
            first.add(nextName());
        }
        cluster = new InMemoryCluster(settings, seed, first.toArray(String[]::new));
        boxes.addAll(first);
        while (boxes.size() < size) {
            startEmpty(nextName());
        }
        runRounds(FORMATION_STEPS);
        hasFormed = true;
        repairNetwork();
        checkMembers("after the formation");
    }

    /** Runs the simulation; throws an AssertionError if a check fails. */
    void run() {
        acknowledge("first");
        for (int round = 1; round <= ROUNDS; round++) {
            changeLeaderSometimes();
            loseMembers();
            catchUp();
            repairNetwork();
            checkMembers("after round " + round);
            checkAcknowledged(round);
            acknowledge("round " + round);
        }
    }

    private void catchUp() {
        for (int step = 0; step < CATCH_UP_STEPS; step++) {
            for (int change = 0; network == Network.SLOW_COPIES && change < CHANGES_PER_ROUND; change++) {
                proposeAtLeader("meanwhile");
            }
            runRounds(1);
        }
    }

    private void proposeAtLeader(String command) {
        if (cluster.hasLeader()) {
            cluster.propose(cluster.leader(), command);
        }
    }

    /** Delivers all messages for a while; a group has to settle only once messages arrive. */
    private void repairNetwork() {
        if (network == Network.LOSSY) {
            cluster.runRounds(CATCH_UP_STEPS);
        }
    }

    private void runRounds(int rounds) {
        cluster.runRounds(rounds, network == Network.LOSSY);
    }

    private void changeLeaderSometimes() {
        if (cluster.random.nextBoolean()) {
            cluster.transferLeadership();
            runRounds(cluster.random.nextInt(MAX_STEPS_AWAY));
        }
    }

    private void loseMembers() {
        List<String> lost = drawLost();
        cluster.endSlowness();
        lost.forEach(cluster::stop);
        boxes.removeAll(lost);
        runRounds(cluster.random.nextInt(MAX_STEPS_AWAY));
        for (String box : lost) {
            boolean replaced = cluster.random.nextBoolean() && network != Network.SLOW_COPIES;
            startEmpty(replaced ? nextName() : box);
        }
    }

    /** Draws the boxes that are lost; one of them often leads. */
    private List<String> drawLost() {
        List<String> candidates = new ArrayList<>(boxes);
        List<String> lost = new ArrayList<>();
        int count = 1 + cluster.random.nextInt(toleratedLosses);
        if (cluster.random.nextBoolean() && cluster.hasLeader()) {
            lost.add(cluster.leader().self().box());
        }
        candidates.removeAll(lost);
        while (lost.size() < count) {
            lost.add(candidates.remove(cluster.random.nextInt(candidates.size())));
        }
        return lost;
    }

    private void startEmpty(String box) {
        List<String> running = new ArrayList<>(boxes);
        List<String> known = new ArrayList<>();
        while (contacts == Contacts.THREE_SEEDS && known.size() < Math.min(SEEDS, running.size())) {
            known.add(running.remove(cluster.random.nextInt(running.size())));
        }
        boxes.add(box);
        cluster.startWithEmptyDisk(box, contacts == Contacts.ALL ? running : known);
        if (network == Network.SLOW_COPIES && hasFormed) {
            cluster.slowDown(box);
        }
    }

    private String nextName() {
        startedBoxes++;
        return String.format("box-%02d", startedBoxes);
    }

    private void acknowledge(String command) {
        long before = cluster.leader().commitIndex();
        cluster.propose(cluster.leader(), command);
        cluster.runRounds(ACKNOWLEDGEMENT_STEPS);
        boolean committed = cluster.committed.entrySet().stream()
                .anyMatch(entry ->
                        entry.getKey() > before && text(entry.getValue()).equals(command));
        check(committed, command + " is not acknowledged");
        acknowledged.add(command);
    }

    private void checkMembers(String when) {
        Set<String> members = new TreeSet<>();
        cluster.leader().members().forEach(member -> members.add(member.box()));
        boolean complete = members.equals(boxes)
                || (network == Network.SLOW_COPIES
                        && boxes.containsAll(members)
                        && members.size() >= settings.minMembers());
        check(complete, when + ": members " + members + ", running " + boxes);
        Set<Member> running = new HashSet<>();
        cluster.running.values().forEach(node -> running.add(node.self()));
        check(running.containsAll(cluster.leader().members()), when + ": a former incarnation is a member");
    }

    /** Checks that the leader has delivered, in this life or from a snapshot, all entries acknowledged so far. */
    private void checkAcknowledged(int round) {
        long last = cluster.committed.entrySet().stream()
                .filter(entry -> acknowledged.contains(text(entry.getValue())))
                .mapToLong(java.util.Map.Entry::getKey)
                .max()
                .orElse(0);
        check(cluster.leader().commitIndex() >= last, "entry " + last + " is lost in round " + round);
    }

    private static String text(LogEntry entry) {
        return new String(entry.command(), StandardCharsets.UTF_8);
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
