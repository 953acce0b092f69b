package org.bankturn.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.time.Clock;

/** Simulates many gateways and one temporarily rate-limited target in virtual time, with two sharing schemes. */
final class RateLimitReplay implements Clock {
    static final long LIMIT_ENDS_MILLIS = 40_000;
    private static final long END_MILLIS = 60_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long GRACE_MILLIS = 500;
    private static final double REQUESTS_A_SECOND = 13;
    private static final long ANSWER_MILLIS = 80;
    private static final long DOWN_MILLIS = 700;
    private static final long FAILURE_DETECTION_MILLIS = 3_000;
    private static final String TARGET = "t";

    /** The scheme by which gateways share a limit. */
    enum Scheme {
        /** Each gateway sends at a fixed share of the rate, with a random phase. */
        SHARES,
        /** One gateway issues permits. */
        PERMITS
    }

    /** The injected fault. */
    enum Fault {
        NONE,
        /** The coordinator is killed repeatedly. */
        KILLS,
        /** Half of the gateways are partitioned from the other half for ten seconds. */
        PARTITION
    }

    /**
     * The result of a simulation.
     *
     * @param maxInWindow the maximum number of requests in a window from gateways that knew the limit
     * @param utilization the share of the offered rate that was used while the limit was in force
     * @param lastLearnedMillis when the last gateway learned of the end of the limit, -1 if one never did
     * @param messages the messages between gateways per second while the limit was in force
     */
    record Result(int maxInWindow, double utilization, long lastLearnedMillis, double messages) {}

    private final Scheme scheme;
    private final Fault fault;
    private final double perSecond;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Long> counted = new ArrayList<>();
    private long now;
    private long order;
    private int arrivals;
    private int messages;

    /** A scheduled action. */
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
        private TargetFlowControl flowControl = new TargetFlowControl();
        private PermitCoordinator coordinator = PermitCoordinator.of(RateLimitReplay.this, random);
        private long limitLearnedMillis = Long.MAX_VALUE;
        private long nextShareMillis = -1;
        private long learnedEndMillis = -1;
        private boolean up = true;
        private Set<String> known = new TreeSet<>();

        private Gateway(String name) {
            this.name = name;
        }

        private void restart() {
            flowControl = new TargetFlowControl();
            coordinator = PermitCoordinator.of(RateLimitReplay.this, random);
            limitLearnedMillis = Long.MAX_VALUE;
            nextShareMillis = -1;
            up = true;
        }

        private void request() {
            after(Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_A_SECOND), this::request);
            if (up && canSend()) {
                TargetFlowControl flowControlAtSend = flowControl;
                long sentMillis = now;
                arrived();
                after(ANSWER_MILLIS, () -> answered(flowControlAtSend, sentMillis));
            }
        }

        private boolean canSend() {
            if (scheme == Scheme.SHARES) {
                return !flowControl.limit().inForce() || takeShare();
            }
            if (flowControl.needsPermit(now)) {
                askForPermit();
            }
            return flowControl.acquire(now).isEmpty();
        }

        private boolean takeShare() {
            long period = Math.round(1_000 * gateways.size() / perSecond);
            if (nextShareMillis < 0) {
                nextShareMillis = now + random.nextInt((int) period);
            }
            if (now < nextShareMillis) {
                return false;
            }
            nextShareMillis = now + period;
            return true;
        }

        private void arrived() {
            if (now >= WARM_UP_MILLIS && now < LIMIT_ENDS_MILLIS) {
                arrivals++;
                if (limitLearnedMillis <= now - GRACE_MILLIS) {
                    counted.add(now);
                }
            }
        }

        private void answered(TargetFlowControl flowControlAtSend, long sentMillis) {
            if (flowControlAtSend != flowControl || !up) {
                return;
            }
            boolean limited = now < LIMIT_ENDS_MILLIS;
            TargetNotice notice =
                    new TargetNotice(limited ? OptionalDouble.of(perSecond) : OptionalDouble.empty(), 0, false);
            boolean changed =
                    !flowControl.applyNotice(notice, true, sentMillis, now).isEmpty();
            if (limited) {
                limitLearnedMillis = Math.min(limitLearnedMillis, now);
            } else if (changed && scheme == Scheme.PERMITS) {
                reportLimitEnd();
            }
            recordLimitEnd();
        }

        private void recordLimitEnd() {
            if (now >= LIMIT_ENDS_MILLIS && !flowControl.limit().inForce() && learnedEndMillis < 0) {
                learnedEndMillis = now;
            }
        }

        private void reportLimitEnd() {
            responsible()
                    .ifPresent(other -> message(other, () -> {
                        PermitCoordinator.Answer unused =
                                other.coordinator.ask(TARGET, name, flowControl.limit(), false);
                    }));
        }

        private void askForPermit() {
            TargetFlowControl flowControlAtSend = flowControl;
            long requestedMillis = now;
            flowControl.permitRequested();
            Optional<Gateway> other = responsible();
            boolean[] answered = {false};
            other.ifPresent(coordinatorGateway -> message(coordinatorGateway, () -> {
                PermitCoordinator.Answer answer =
                        coordinatorGateway.coordinator.ask(TARGET, name, flowControl.limit(), true);
                coordinatorGateway.message(this, () -> {
                    answered[0] = true;
                    if (flowControlAtSend == flowControl) {
                        flowControl.permitAnswered(answer, requestedMillis, now);
                        recordLimitEnd();
                    }
                });
            }));
            after(400, () -> {
                if (!answered[0] && flowControlAtSend == flowControl) {
                    flowControl.permitUnanswered(now);
                }
            });
        }

        private Optional<Gateway> responsible() {
            return PermitCoordinator.responsible(TARGET, known).map(RateLimitReplay.this::named);
        }

        private void message(Gateway to, Runnable action) {
            if (this != to) {
                messages += now < LIMIT_ENDS_MILLIS ? 1 : 0;
            }
            PermitCoordinator at = to.coordinator;
            boolean cut = fault == Fault.PARTITION && now >= 10_000 && now < 20_000 && isEven() != to.isEven();
            after(this == to ? 0 : 1 + random.nextInt(4), () -> {
                if (to.up && !cut && at == to.coordinator) {
                    action.run();
                }
            });
        }

        private boolean isEven() {
            return gateways.indexOf(this) % 2 == 0;
        }
    }

    static Result simulate(Scheme scheme, Fault fault, int gateways, double perSecond, long seed) {
        return new RateLimitReplay(scheme, fault, gateways, perSecond, seed).run();
    }

    private RateLimitReplay(Scheme scheme, Fault fault, int count, double perSecond, long seed) {
        this.scheme = scheme;
        this.fault = fault;
        this.perSecond = perSecond;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int number = 0; number < count; number++) {
            gateways.add(new Gateway("gateway-" + number));
        }
        Set<String> all = new TreeSet<>(gateways.stream().map(each -> each.name).toList());
        gateways.forEach(each -> each.known = all);
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

    private void after(long millis, Runnable action) {
        events.add(new Event(now + millis, order++, action));
    }

    private Result run() {
        gateways.forEach(each -> after(random.nextInt(200), each::request));
        if (fault == Fault.KILLS) {
            for (long at = 5_000; at < LIMIT_ENDS_MILLIS; at += 2_500) {
                events.add(new Event(at, order++, this::killResponsible));
            }
        }
        while (events.peek().atMillis() < END_MILLIS) {
            Event next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        long last = gateways.stream().anyMatch(each -> each.learnedEndMillis < 0)
                ? -1
                : gateways.stream()
                                .mapToLong(each -> each.learnedEndMillis)
                                .max()
                                .orElseThrow()
                        - LIMIT_ENDS_MILLIS;
        double seconds = (LIMIT_ENDS_MILLIS - WARM_UP_MILLIS) / 1_000.0;
        return new Result(maxInWindow(), arrivals / seconds / perSecond, last, messages * 1_000.0 / LIMIT_ENDS_MILLIS);
    }

    /** Kills the coordinator, which restarts soon; other gateways may choose another one meanwhile. */
    private void killResponsible() {
        Gateway killed = gateways.get(0).responsible().orElseThrow();
        killed.up = false;
        after(DOWN_MILLIS, killed::restart);
        if (random.nextBoolean()) {
            Set<String> without = new TreeSet<>(gateways.get(0).known);
            without.remove(killed.name);
            Set<String> all =
                    new TreeSet<>(gateways.stream().map(each -> each.name).toList());
            gateways.forEach(each -> after(random.nextInt(200), () -> each.known = without));
            gateways.forEach(each -> after(FAILURE_DETECTION_MILLIS + random.nextInt(200), () -> each.known = all));
        }
    }

    private int maxInWindow() {
        int max = 0;
        for (int first = 0, next = 0; first < counted.size(); first++) {
            while (next < counted.size() && counted.get(next) < counted.get(first) + WINDOW_MILLIS) {
                next++;
            }
            max = Math.max(max, next - first);
        }
        return max;
    }

    /** Prints a table of both schemes; the argument is the number of seeds per case. */
    public static void main(String[] arguments) {
        int seeds = Integer.parseInt(arguments[0]);
        System.out.println(
                "fault | gateways | limit | scheme | max in 4 s | exceeded | utilization | last learned, unaware | messages/s");
        for (Fault fault : Fault.values()) {
            for (int count : new int[] {7, 49, 370}) {
                for (double rate : new double[] {0.5, 1, 2, 8}) {
                    for (Scheme scheme : Scheme.values()) {
                        System.out.printf(
                                "%s | %d | %.1f | %s | %s%n",
                                fault,
                                count,
                                rate,
                                scheme,
                                row(
                                        IntStream.rangeClosed(1, seeds)
                                                .mapToObj(seed -> simulate(scheme, fault, count, rate, seed))
                                                .toList(),
                                        allowedInWindow(rate)));
                    }
                }
            }
        }
    }

    private static String row(List<Result> results, int allowed) {
        return String.format(
                "%d of %d | %d in %d | %.2f | %d ms, %d | %.1f",
                results.stream().mapToInt(Result::maxInWindow).max().orElseThrow(),
                allowed,
                results.stream().filter(each -> each.maxInWindow() > allowed).count(),
                results.size(),
                results.stream().mapToDouble(Result::utilization).average().orElseThrow(),
                results.stream().mapToLong(Result::lastLearnedMillis).max().orElseThrow(),
                results.stream().filter(each -> each.lastLearnedMillis() < 0).count(),
                results.stream().mapToDouble(Result::messages).average().orElseThrow());
    }

    /** Returns the tolerated number of requests in a window. */
    static int allowedInWindow(double perSecond) {
        return (int) (1.5 * perSecond * WINDOW_MILLIS / 1_000) + 5;
    }
}
