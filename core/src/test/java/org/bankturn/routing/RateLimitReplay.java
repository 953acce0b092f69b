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

/** Many gateways before one target that names a limit for a while, in virtual time; two ways to keep the limit together. */
final class RateLimitReplay implements Clock {
    static final long LIMIT_ENDS_MILLIS = 40_000;
    private static final long END_MILLIS = 60_000;
    private static final long WINDOW_MILLIS = 4_000;
    private static final long UNTIL_IN_FORCE_MILLIS = 3_000;
    private static final long TOLD_MILLIS = 500;
    private static final double REQUESTS_A_SECOND = 13;
    private static final long ANSWER_MILLIS = 80;
    private static final long DOWN_MILLIS = 700;
    private static final long NOTICED_DOWN_MILLIS = 3_000;
    private static final String TARGET = "t";

    /** How gateways keep a limit together. */
    enum Way {
        /** Each gateway sends its part of the rate, from a moment on that is drawn at random. */
        PARTS,
        /** One gateway hands out permits. */
        PERMITS
    }

    /** What goes wrong meanwhile. */
    enum Trouble {
        NONE,
        /** The gateway that hands out permits is killed again and again, and others a while after it. */
        KILLS,
        /** Half of the gateways cannot reach the other half for ten seconds. */
        CUT
    }

    /**
     * What came of it.
     *
     * @param most the most requests in a window from gateways that had been told
     * @param used what the target got of what it offered, while its limit was in force
     * @param lastKnewMillis how long after the end of the limit the last gateway knew, -1 if one never did
     * @param messages the messages between gateways a second, while the limit was in force
     */
    record Result(int most, double used, long lastKnewMillis, double messages) {}

    private final Way way;
    private final Trouble trouble;
    private final double perSecond;
    private final UniformRandomProvider random;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Gateway> gateways = new ArrayList<>();
    private final List<Long> counted = new ArrayList<>();
    private long now;
    private long order;
    private int arrivals;
    private int messages;

    /** Something that happens at a moment. */
    private record Event(long atMillis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Long.compare(atMillis, other.atMillis);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    /** One gateway, which forgets everything when it starts again. */
    private final class Gateway {
        private final String name;
        private TargetFlowControl terms = new TargetFlowControl();
        private PermitCoordinator coordinator = PermitCoordinator.of(RateLimitReplay.this, random);
        private long toldMillis = Long.MAX_VALUE;
        private long nextPartMillis = -1;
        private long knewEndMillis = -1;
        private boolean up = true;
        private Set<String> known = new TreeSet<>();

        private Gateway(String name) {
            this.name = name;
        }

        private void restart() {
            terms = new TargetFlowControl();
            coordinator = PermitCoordinator.of(RateLimitReplay.this, random);
            toldMillis = Long.MAX_VALUE;
            nextPartMillis = -1;
            up = true;
        }

        private void request() {
            after(Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / REQUESTS_A_SECOND), this::request);
            if (up && mayGo()) {
                TargetFlowControl start = terms;
                long sentMillis = now;
                arrived();
                after(ANSWER_MILLIS, () -> answered(start, sentMillis));
            }
        }

        private boolean mayGo() {
            if (way == Way.PARTS) {
                return !terms.limit().inForce() || takePart();
            }
            if (terms.needsPermit(now)) {
                askForPermit();
            }
            return terms.acquire(now).isEmpty();
        }

        private boolean takePart() {
            long period = Math.round(1_000 * gateways.size() / perSecond);
            if (nextPartMillis < 0) {
                nextPartMillis = now + random.nextInt((int) period);
            }
            if (now < nextPartMillis) {
                return false;
            }
            nextPartMillis = now + period;
            return true;
        }

        private void arrived() {
            if (now >= UNTIL_IN_FORCE_MILLIS && now < LIMIT_ENDS_MILLIS) {
                arrivals++;
                if (toldMillis <= now - TOLD_MILLIS) {
                    counted.add(now);
                }
            }
        }

        private void answered(TargetFlowControl start, long sentMillis) {
            if (start != terms || !up) {
                return;
            }
            boolean limited = now < LIMIT_ENDS_MILLIS;
            TargetNotice notice =
                    new TargetNotice(limited ? OptionalDouble.of(perSecond) : OptionalDouble.empty(), 0, false);
            boolean changed = !terms.applyNotice(notice, true, sentMillis, now).isEmpty();
            if (limited) {
                toldMillis = Math.min(toldMillis, now);
            } else if (changed && way == Way.PERMITS) {
                tell();
            }
            noteEnd();
        }

        private void noteEnd() {
            if (now >= LIMIT_ENDS_MILLIS && !terms.limit().inForce() && knewEndMillis < 0) {
                knewEndMillis = now;
            }
        }

        private void tell() {
            responsible()
                    .ifPresent(other -> message(other, () -> {
                        PermitCoordinator.Answer unused = other.coordinator.ask(TARGET, name, terms.limit(), false);
                    }));
        }

        private void askForPermit() {
            TargetFlowControl start = terms;
            long askedMillis = now;
            terms.permitRequested();
            Optional<Gateway> other = responsible();
            boolean[] answered = {false};
            other.ifPresent(asked -> message(asked, () -> {
                PermitCoordinator.Answer answer = asked.coordinator.ask(TARGET, name, terms.limit(), true);
                asked.message(this, () -> {
                    answered[0] = true;
                    if (start == terms) {
                        terms.permitAnswered(answer, askedMillis, now);
                        noteEnd();
                    }
                });
            }));
            after(400, () -> {
                if (!answered[0] && start == terms) {
                    terms.permitUnanswered(now);
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
            boolean cut = trouble == Trouble.CUT && now >= 10_000 && now < 20_000 && isEven() != to.isEven();
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

    static Result play(Way way, Trouble trouble, int gateways, double perSecond, long seed) {
        return new RateLimitReplay(way, trouble, gateways, perSecond, seed).run();
    }

    private RateLimitReplay(Way way, Trouble trouble, int count, double perSecond, long seed) {
        this.way = way;
        this.trouble = trouble;
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
        if (trouble == Trouble.KILLS) {
            for (long at = 5_000; at < LIMIT_ENDS_MILLIS; at += 2_500) {
                events.add(new Event(at, order++, this::killResponsible));
            }
        }
        while (events.peek().atMillis() < END_MILLIS) {
            Event next = events.poll();
            now = next.atMillis();
            next.action().run();
        }
        long last = gateways.stream().anyMatch(each -> each.knewEndMillis < 0)
                ? -1
                : gateways.stream().mapToLong(each -> each.knewEndMillis).max().orElseThrow() - LIMIT_ENDS_MILLIS;
        double seconds = (LIMIT_ENDS_MILLIS - UNTIL_IN_FORCE_MILLIS) / 1_000.0;
        return new Result(mostInWindow(), arrivals / seconds / perSecond, last, messages * 1_000.0 / LIMIT_ENDS_MILLIS);
    }

    /** Kills it; it is back soon, and others that notice it at all choose another for a while. */
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
            gateways.forEach(each -> after(NOTICED_DOWN_MILLIS + random.nextInt(200), () -> each.known = all));
        }
    }

    private int mostInWindow() {
        int most = 0;
        for (int first = 0, next = 0; first < counted.size(); first++) {
            while (next < counted.size() && counted.get(next) < counted.get(first) + WINDOW_MILLIS) {
                next++;
            }
            most = Math.max(most, next - first);
        }
        return most;
    }

    /** Prints a table of both ways; the argument says how many seeds each case is played with. */
    public static void main(String[] arguments) {
        int seeds = Integer.parseInt(arguments[0]);
        System.out.println(
                "trouble | gateways | limit | way | most in 4 s | beyond it | used | last knew, unaware | messages/s");
        for (Trouble trouble : Trouble.values()) {
            for (int count : new int[] {7, 49, 370}) {
                for (double rate : new double[] {0.5, 1, 2, 8}) {
                    for (Way way : Way.values()) {
                        System.out.printf(
                                "%s | %d | %.1f | %s | %s%n",
                                trouble,
                                count,
                                rate,
                                way,
                                row(
                                        IntStream.rangeClosed(1, seeds)
                                                .mapToObj(seed -> play(way, trouble, count, rate, seed))
                                                .toList(),
                                        allowed(rate)));
                    }
                }
            }
        }
    }

    private static String row(List<Result> results, int allowed) {
        return String.format(
                "%d of %d | %d in %d | %.2f | %d ms, %d | %.1f",
                results.stream().mapToInt(Result::most).max().orElseThrow(),
                allowed,
                results.stream().filter(each -> each.most() > allowed).count(),
                results.size(),
                results.stream().mapToDouble(Result::used).average().orElseThrow(),
                results.stream().mapToLong(Result::lastKnewMillis).max().orElseThrow(),
                results.stream().filter(each -> each.lastKnewMillis() < 0).count(),
                results.stream().mapToDouble(Result::messages).average().orElseThrow());
    }

    /** Returns the most requests in a window that are tolerated. */
    static int allowed(double perSecond) {
        return (int) (1.5 * perSecond * WINDOW_MILLIS / 1_000) + 5;
    }
}
