package org.bankturn.routing;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The attempts at one request that are in flight at the same time.
 *
 * <p>Load pattern: a target that sends nothing for a while but is still working, while the others are full, unreachable
 * or silent as well. An attempt that has become silent is therefore not given up for a further one; it ends only when
 * another attempt delivers the next part of the response.
 *
 * <p>ConcurrentAttempts is mutable and not thread-safe.
 *
 * @param <A> the type of an attempt
 */
public final class ConcurrentAttempts<A> {
    private final List<A> inFlight = new ArrayList<>();
    private final Set<A> silent = new HashSet<>();

    /** Returns an instance without attempts, not null. */
    public static <A> ConcurrentAttempts<A> none() {
        return new ConcurrentAttempts<>();
    }

    private ConcurrentAttempts() {}

    // ---- queries

    /** Returns true if no attempt is in flight. */
    public boolean isEmpty() {
        return inFlight.isEmpty();
    }

    /** Returns true if the request should be sent to a further target: every attempt in flight is silent. */
    public boolean needsFurther() {
        return silent.size() == inFlight.size();
    }

    // ---- updates

    /** Records that an attempt was started. */
    public void started(A attempt) {
        inFlight.add(attempt);
    }

    /**
     * Records that an attempt has received nothing for longer than its silence timeout.
     *
     * @return true if it was in flight and not silent before
     */
    public boolean becameSilent(A attempt) {
        return inFlight.contains(attempt) && silent.add(attempt);
    }

    /** Records that an attempt received data. */
    public void receivedData(A attempt) {
        silent.remove(attempt);
    }

    /**
     * Records that an attempt delivers the next part of the response.
     *
     * @return the other attempts, which are no longer in flight and must be cancelled, not null
     */
    public List<A> delivered(A attempt) {
        if (inFlight.size() <= 1 && inFlight.contains(attempt)) {
            return List.of();
        }
        List<A> others = new ArrayList<>(inFlight);
        others.remove(attempt);
        others.forEach(this::ended);
        return others;
    }

    /** Records that an attempt ended. */
    public void ended(A attempt) {
        inFlight.remove(attempt);
        silent.remove(attempt);
    }

    /**
     * Records that all attempts are given up.
     *
     * @return the attempts that were in flight, which must be cancelled, not null
     */
    public List<A> clear() {
        List<A> all = List.copyOf(inFlight);
        inFlight.clear();
        silent.clear();
        return all;
    }

    @Override
    public String toString() {
        return "ConcurrentAttempts[" + inFlight.size() + " in flight, " + silent.size() + " silent]";
    }
}
