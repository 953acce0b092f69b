package org.bankturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.time.Clock;

/**
 * Issues permits for single requests to rate-limited targets on behalf of all gateways.
 *
 * <p>Load pattern: a target accepts one or two requests per second from dozens of gateways. Fixed shares would let all
 * gateways send at once and leave capacity unused where there is no demand. One gateway therefore reserves evenly
 * spaced start times for whichever gateway asks. Reservations reach ahead, and remain valid, only briefly: a restarted
 * coordinator does not know of outstanding permits and starts with a free interval, so both together stay within the
 * tolerance of targets.
 *
 * <p>PermitCoordinator is mutable and not thread-safe.
 */
public final class PermitCoordinator {
    /** The maximum time that a permit is reserved ahead. */
    static final long RESERVATION_HORIZON_MILLIS = 500;

    /** The time that a permit is valid from its start time on. */
    public static final long PERMIT_VALIDITY_MILLIS = 300;

    /** The maximum time until a gateway asks again, so that it learns of the end of a limit. */
    private static final long MAX_RETRY_MILLIS = 4_000;

    private static final long MIN_RETRY_MILLIS = 50;

    /** The time after which a gateway that has not asked again no longer counts as waiting. */
    private static final long WAITER_TTL_MILLIS = 5_000;

    /** The time after which the schedule of an unused target is removed. */
    private static final long SCHEDULE_TTL_MILLIS = 60_000;

    private static final int MAX_TARGETS = 1_024;

    private final Clock clock;
    private final UniformRandomProvider random;
    private final Map<String, Schedule> schedules = new HashMap<>();

    /**
     * The answer to a gateway's permit request.
     *
     * @param limit the newest known limit of the target, not null
     * @param granted true if a permit was reserved
     * @param inMillis the time until the permit is valid, or until the next request
     */
    public record Answer(RateLimit limit, boolean granted, long inMillis) {}

    /** The next start time for a target, and the gateways waiting for it. */
    private static final class Schedule {
        private final Map<String, Long> waiters = new HashMap<>();
        private RateLimit limit;
        private double nextMillis;
        private long lastUsedMillis;

        private Schedule(RateLimit limit) {
            this.limit = limit;
        }

        private void updateLimit(RateLimit reported, long now) {
            boolean becomesLimited = reported.inForce() && !limit.inForce();
            limit = limit.newerOf(reported);
            if (becomesLimited && limit.inForce()) {
                startAt(now);
            }
        }

        private void startAt(long now) {
            nextMillis = now + limit.intervalMillis();
        }

        private int countWaiters(String gateway, long now) {
            waiters.values().removeIf(asked -> asked < now - WAITER_TTL_MILLIS);
            waiters.put(gateway, now);
            return waiters.size();
        }
    }

    /**
     * Returns a coordinator without known limits, not null.
     *
     * @param clock the time, not null
     * @param random the source of randomness, not null
     */
    public static PermitCoordinator of(Clock clock, UniformRandomProvider random) {
        return new PermitCoordinator(clock, random);
    }

    private PermitCoordinator(Clock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Returns the gateway that coordinates a target's permits, empty if there is none, not null.
     *
     * @param target the target's incarnation, not null
     * @param gateways the current gateways, not null
     */
    public static Optional<String> responsible(String target, Collection<String> gateways) {
        return TextHash.responsible(target, gateways);
    }

    /**
     * Updates the known limit of a target and reserves a permit if one is available soon.
     *
     * @param target the target's incarnation, not null
     * @param gateway the gateway, not null
     * @param reported the limit known to the gateway, not null
     * @param wantsPermit true to request a permit
     * @return the answer, not null
     */
    public Answer ask(String target, String gateway, RateLimit reported, boolean wantsPermit) {
        long now = clock.millis();
        Schedule schedule = schedules.get(target);
        if (schedule == null) {
            evictUnused(now);
            schedule = new Schedule(reported);
            schedule.startAt(now);
            schedules.put(target, schedule);
        }
        schedule.lastUsedMillis = now;
        schedule.updateLimit(reported, now);
        if (!wantsPermit || !schedule.limit.inForce()) {
            return new Answer(schedule.limit, false, 0);
        }
        return reserve(schedule, gateway, now);
    }

    private Answer reserve(Schedule schedule, String gateway, long now) {
        int waiters = schedule.countWaiters(gateway, now);
        double pace = schedule.limit.intervalMillis();
        // the next time may lie far ahead if the limit was lower before
        double next = Math.min(Math.max((double) now, schedule.nextMillis), now + RESERVATION_HORIZON_MILLIS + pace);
        if (next - now <= RESERVATION_HORIZON_MILLIS) {
            schedule.nextMillis = next + pace;
            schedule.waiters.remove(gateway);
            return new Answer(schedule.limit, true, (long) Math.ceil(next - now));
        }
        schedule.nextMillis = next;
        double untilFree = next - now - RESERVATION_HORIZON_MILLIS;
        // jitter spreads the gateways that wait for the same permit
        double wait = untilFree + random.nextDouble() * (waiters - 1) * pace;
        return new Answer(schedule.limit, false, clampRetry(wait));
    }

    private static long clampRetry(double waitMillis) {
        return Math.round(Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, waitMillis)));
    }

    private void evictUnused(long now) {
        schedules.values().removeIf(schedule -> schedule.lastUsedMillis < now - SCHEDULE_TTL_MILLIS);
        if (schedules.size() >= MAX_TARGETS) {
            schedules.entrySet().stream()
                    .min(Map.Entry.comparingByValue(
                            (one, other) -> Long.compare(one.lastUsedMillis, other.lastUsedMillis)))
                    .map(Map.Entry::getKey)
                    .ifPresent(schedules::remove);
        }
    }

    @Override
    public String toString() {
        return "PermitCoordinator[" + schedules.size() + " targets]";
    }
}
