package org.bankturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.time.Clock;

/**
 * Hands out permits for single requests to targets that limit their rate, at one gateway for all.
 *
 * <p>Load pattern: a target takes a request or two a second from dozens of gateways. A part of that for each would let all
 * of them send at the same moment, and would leave the target idle while those that hold a part have nothing for it. So one
 * gateway reserves times for requests, evenly spaced, for whichever gateway asks. Reservations reach ahead, and stay valid,
 * for a short time only: a coordinator that starts again knows nothing of those that are out, and begins with a free
 * interval, so that both together stay within what targets tolerate.
 *
 * <p>PermitCoordinator is mutable and not thread-safe.
 */
public final class PermitCoordinator {
    /** How far ahead a permit is reserved. */
    static final long RESERVATION_HORIZON_MILLIS = 500;

    /** How long a permit may be used from its time on. */
    public static final long PERMIT_VALIDITY_MILLIS = 300;

    /** A gateway asks again no later than that, so that it learns of the end of a limit. */
    private static final long MAX_RETRY_MILLIS = 4_000;

    private static final long MIN_RETRY_MILLIS = 50;

    /** A gateway that has not asked for that long waits for no permit. */
    private static final long WAITER_TTL_MILLIS = 5_000;

    /** A target that nobody asked about for that long is forgotten. */
    private static final long SCHEDULE_TTL_MILLIS = 60_000;

    private static final int MAX_TARGETS = 1_024;

    private final Clock clock;
    private final UniformRandomProvider random;
    private final Map<String, Schedule> schedules = new HashMap<>();

    /**
     * What a gateway is told.
     *
     * @param limit what is known of the target's limit, not null
     * @param granted true if a permit was reserved
     * @param inMillis when the permit may be used, or when to ask again
     */
    public record Answer(RateLimit limit, boolean granted, long inMillis) {}

    /** When the next request to one target is due, and which gateways ask for it. */
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
            nextMillis = now + limit.paceMillis();
        }

        private int countWaiters(String gateway, long now) {
            waiters.values().removeIf(asked -> asked < now - WAITER_TTL_MILLIS);
            waiters.put(gateway, now);
            return waiters.size();
        }
    }

    /**
     * Returns a coordinator that knows of no limit, not null.
     *
     * @param clock the time, not null
     * @param random random numbers, not null
     */
    public static PermitCoordinator of(Clock clock, UniformRandomProvider random) {
        return new PermitCoordinator(clock, random);
    }

    private PermitCoordinator(Clock clock, UniformRandomProvider random) {
        this.clock = clock;
        this.random = random;
    }

    /**
     * Returns the gateway that hands out a target's permits, empty if none is known, not null.
     *
     * @param target the target's incarnation, not null
     * @param gateways the gateways that are there, not null
     */
    public static Optional<String> responsible(String target, Collection<String> gateways) {
        return TextHash.responsible(target, gateways);
    }

    /**
     * Takes in what a gateway knows of a target's limit, and reserves a permit for it if one is to be had soon.
     *
     * @param target the target's incarnation, not null
     * @param gateway the gateway, not null
     * @param reported what it knows of the limit, not null
     * @param wantsPermit true if it wants a permit
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
        double pace = schedule.limit.paceMillis();
        // a limit that was lower before may have put the next time far ahead
        double next = Math.min(Math.max((double) now, schedule.nextMillis), now + RESERVATION_HORIZON_MILLIS + pace);
        if (next - now <= RESERVATION_HORIZON_MILLIS) {
            schedule.nextMillis = next + pace;
            schedule.waiters.remove(gateway);
            return new Answer(schedule.limit, true, (long) Math.ceil(next - now));
        }
        schedule.nextMillis = next;
        double untilFree = next - now - RESERVATION_HORIZON_MILLIS;
        // those that ask for the same permit come again one by one
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
