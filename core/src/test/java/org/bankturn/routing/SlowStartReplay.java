package org.bankturn.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Service;
import org.bankturn.service.SlowStart;
import org.bankturn.time.Clock;

/** Simulates many gateways and targets that join cold, one after another, in virtual time, with two schemes. */
final class SlowStartReplay implements Clock {
    static final double PER_SECOND = 18;
    static final long COLD_MILLIS = 3_000;
    private static final double DEMAND_PER_SECOND = 363;
    private static final long ROUND_MILLIS = 20_000;
    private static final long FIRST_ROUND_MILLIS = 10_000;
    private static final long CONFIRM_MILLIS = 500;
    private static final long DROPPED_AFTER_MILLIS = 3_500;
    private static final int ROUNDS = 6;
    private static final long WINDOW_MILLIS = 1_000;
    private static final Service SERVICE =
            new Service("chat", "/", 100, null, null, null, null, new SlowStart(COLD_MILLIS, PER_SECOND));
    private static final String[] HALLS = {"a", "b", "c"};

    /** The scheme by which gateways share the rate of a cold target. */
    enum Scheme {
        /** A few chosen gateways space their requests. */
        CHOSEN,
        /** One gateway issues permits. */
        PERMITS
    }

    /** The injected fault, in each round. */
    enum Fault {
        NONE,
        /** A third of the gateways, among them the coordinator, restart while the target is cold. */
        RESTARTS,
        /** Half of the gateways join while the target is cold; others learn of them up to two seconds late. */
        JOINS,
        /** Half of the gateways are cut off from the other half and from the control group for ten seconds. */
        CUT,
        /** The coordinator can be reached by no gateway. */
        COORDINATOR_UNREACHABLE,
        /** Two halves know only themselves, and each is told that this is current; no single control group says so. */
        STRANGERS
    }

    /**
     * The result of a simulation.
     *
     * @param maxInWindow the maximum number of requests in a second
     * @param utilization the number of requests as a share of what cold targets would bear
     * @param messages the messages between gateways per cold target
     */
    record Result(int maxInWindow, double utilization, double messages) {}

    private final Scheme scheme;
    private final Fault fault;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();
    private long now;
    private long order;
    private int messages;

    /** The published gateways for even and for odd ones, null after a change. */
    private List<Map<String, String>> published;

    private TargetSighting target;
    private long coldUntilMillis;

    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** A gateway without persistent state. */
    private final class Gateway {
        private final String name;
        private final int number;
        private SlowStarts slowStarts;
        private PermitCoordinator coordinator;
        private TargetFlowControl flowControl;
        private Map<String, String> known = Map.of();
        private boolean up = true;
        private boolean listed = true;
        private long cutFromMillis = Long.MAX_VALUE;
        private long lagMillis;

        private Gateway(int number) {
            this.number = number;
            this.name = "10.0.0." + number + ":80";
            start();
        }

        private String hall() {
            return HALLS[number % HALLS.length];
        }

        private void start() {
            slowStarts = new SlowStarts(SlowStartReplay.this);
            slowStarts.setServices(Map.of("chat", SERVICE));
            coordinator = PermitCoordinator.of(SlowStartReplay.this, random);
            flowControl = null;
            up = true;
        }

        private void restart() {
            up = false;
            after(700, () -> {
                start();
                learn();
            });
        }

        private boolean isCut() {
            return now >= cutFromMillis;
        }

        /** Learns the published state as it was before the lag of this gateway. */
        private void learn() {
            Map<String, String> learnedGateways = publishedFor(this);
            TargetSighting learned = target;
            after(lagMillis + random.nextInt(50), () -> {
                if (up && !isCut()) {
                    known = learnedGateways;
                    slowStarts.setGateways(name, learnedGateways);
                    slowStarts.gatewaysConfirmed(now - lagMillis - 50);
                    learnTarget(learned);
                }
            });
        }

        private void learnTarget(TargetSighting learned) {
            if (learned != null && flowControl == null) {
                ColdTarget cold = new ColdTarget(slowStarts);
                flowControl = new TargetFlowControl(cold);
                if (scheme == Scheme.CHOSEN) {
                    cold.registered(learned);
                } else {
                    flowControl.applyNotice(new TargetNotice(OptionalDouble.of(PER_SECOND), 0, false), true, now, now);
                }
            }
        }

        private void confirm() {
            if (up) {
                learn();
            }
            after(CONFIRM_MILLIS, this::confirm);
        }

        private void request() {
            after(
                    1 + (long) (-Math.log(1 - random.nextDouble()) * 1_000 * gateways.size() / DEMAND_PER_SECOND),
                    this::request);
            if (!up || flowControl == null || now >= coldUntilMillis) {
                return;
            }
            if (flowControl.acquire(now).isEmpty()) {
                arrivals.add(now + random.nextInt(3));
            } else if (flowControl.needsPermit(now)) {
                askForPermit(target);
            }
        }

        private void askForPermit(TargetSighting asked) {
            TargetFlowControl asking = flowControl;
            long askedMillis = now;
            asking.permitRequested();
            boolean[] answered = {false};
            PermitCoordinator.responsible(asked.id(), known.keySet())
                    .map(SlowStartReplay.this::named)
                    .ifPresent(other -> message(other, () -> {
                        PermitCoordinator.Answer answer = other.coordinator.ask(asked.id(), name, asking.limit(), true);
                        other.message(this, () -> {
                            answered[0] = true;
                            asking.permitAnswered(answer, askedMillis, now);
                            after(answer.inMillis(), () -> usePermit(asking));
                        });
                    }));
            after(400, () -> {
                if (!answered[0]) {
                    asking.permitUnanswered(now);
                }
            });
        }

        /** Sends one of the requests that arrived meanwhile; the demand is far above the rate. */
        private void usePermit(TargetFlowControl used) {
            if (up
                    && used == flowControl
                    && now < coldUntilMillis
                    && used.acquire(now).isEmpty()) {
                arrivals.add(now + random.nextInt(3));
            }
        }

        private void message(Gateway to, Runnable action) {
            messages += this == to ? 0 : 1;
            PermitCoordinator at = to.coordinator;
            after(this == to ? 0 : 1 + random.nextInt(4), () -> {
                boolean unreachable = fault == Fault.COORDINATOR_UNREACHABLE || isCut() != to.isCut();
                if (to.up && at == to.coordinator && !unreachable) {
                    action.run();
                }
            });
        }
    }

    static Result simulate(Scheme scheme, Fault fault, int gateways, long seed) {
        return new SlowStartReplay(scheme, fault, gateways, seed).run();
    }

    private SlowStartReplay(Scheme scheme, Fault fault, int count, long seed) {
        this.scheme = scheme;
        this.fault = fault;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int number = 0; number < count; number++) {
            gateways.add(new Gateway(number));
        }
    }

    @Override
    public long millis() {
        return now;
    }

    private Gateway named(String name) {
        return gateways.stream()
                .filter(each -> each.name.equals(name))
                .findFirst()
                .orElseThrow();
    }

    private Map<String, String> publishedFor(Gateway asking) {
        if (published == null) {
            published = List.of(publishedTo(gateways.get(0)), publishedTo(gateways.get(1)));
        }
        return published.get(asking.number % 2);
    }

    private Map<String, String> publishedTo(Gateway asking) {
        return gateways.stream()
                .filter(each -> each.listed)
                .filter(each -> fault != Fault.STRANGERS || each.number % 2 == asking.number % 2)
                .collect(Collectors.toUnmodifiableMap(each -> each.name, Gateway::hall));
    }

    private void setListed(Gateway gateway, boolean listed) {
        gateway.listed = listed;
        published = null;
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private Result run() {
        gateways.forEach(each -> after(random.nextInt((int) CONFIRM_MILLIS), each::confirm));
        gateways.forEach(each -> after(random.nextInt(200), each::request));
        for (int round = 0; round < ROUNDS; round++) {
            int number = round;
            after(FIRST_ROUND_MILLIS + round * ROUND_MILLIS, () -> startRound(number));
        }
        long end = FIRST_ROUND_MILLIS + ROUNDS * ROUND_MILLIS;
        while (events.peek().atMillis() < end) {
            Event next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        double bearable = PER_SECOND * COLD_MILLIS / 1_000 * ROUNDS;
        return new Result(maxInWindow(), arrivals.size() / bearable, (double) messages / ROUNDS);
    }

    private void startRound(int number) {
        prepareFault();
        String id = "t" + number;
        target = new TargetSighting(id, id, 0, "chat", id, HALLS[number % HALLS.length], 8, false, -1, 1, COLD_MILLIS);
        coldUntilMillis = now + COLD_MILLIS;
        gateways.forEach(each -> each.flowControl = null);
        gateways.forEach(Gateway::learn);
        if (fault == Fault.RESTARTS) {
            after(
                    random.nextInt((int) COLD_MILLIS),
                    () -> PermitCoordinator.responsible(
                                    id, gateways.get(0).known.keySet())
                            .map(this::named)
                            .ifPresent(Gateway::restart));
            gateways.stream()
                    .filter(each -> random.nextInt(3) == 0)
                    .forEach(each -> after(random.nextInt((int) COLD_MILLIS), each::restart));
        }
    }

    private void prepareFault() {
        if (fault == Fault.JOINS) {
            for (Gateway each : gateways) {
                setListed(each, each.number % 2 == 0);
                each.lagMillis = random.nextInt(2_000);
                after(random.nextInt((int) COLD_MILLIS), () -> setListed(each, true));
                if (!each.listed) {
                    each.start();
                }
            }
        }
        if (fault == Fault.CUT) {
            long cutMillis = random.nextInt((int) COLD_MILLIS);
            for (Gateway each : gateways) {
                if (random.nextInt(2) == 0) {
                    after(cutMillis, () -> each.cutFromMillis = now);
                    after(cutMillis + DROPPED_AFTER_MILLIS, () -> setListed(each, false));
                    after(cutMillis + 10_000, () -> {
                        each.cutFromMillis = Long.MAX_VALUE;
                        setListed(each, true);
                    });
                }
            }
        }
    }

    private int maxInWindow() {
        List<Long> sorted = arrivals.stream().sorted().toList();
        int max = 0;
        for (int first = 0, next = 0; first < sorted.size(); first++) {
            while (next < sorted.size() && sorted.get(next) < sorted.get(first) + WINDOW_MILLIS) {
                next++;
            }
            max = Math.max(max, next - first);
        }
        return max;
    }

    /** Returns the tolerated number of requests in a second. */
    static int allowedInWindow() {
        return (int) (1.5 * PER_SECOND) + 5;
    }

    /** Prints a table of both schemes; the argument is the number of seeds per case. */
    public static void main(String[] arguments) {
        int seeds = Integer.parseInt(arguments[0]);
        System.out.println(
                "fault | gateways | scheme | max in 1 s of " + allowedInWindow() + " | sent of bearable | messages");
        for (Fault fault : Fault.values()) {
            for (int count : new int[] {7, 36, 71, 370}) {
                for (Scheme scheme : Scheme.values()) {
                    List<Result> results = IntStream.rangeClosed(1, seeds)
                            .mapToObj(seed -> simulate(scheme, fault, count, seed))
                            .toList();
                    System.out.printf(
                            "%s | %d | %s | %d | %.2f | %.0f%n",
                            fault,
                            count,
                            scheme,
                            results.stream().mapToInt(Result::maxInWindow).max().orElseThrow(),
                            results.stream()
                                    .mapToDouble(Result::utilization)
                                    .average()
                                    .orElseThrow(),
                            results.stream()
                                    .mapToDouble(Result::messages)
                                    .average()
                                    .orElseThrow());
                }
            }
        }
    }
}
