package org.bankturn.crash;

import java.util.function.Supplier;
import org.bankturn.registry.TargetSighting;

/**
 * A request that one gateway sent to a target, as kept by {@link SentRequests}.
 *
 * <p>SentRequest is mutable and not thread-safe.
 */
public final class SentRequest {
    private final TargetSighting target;
    private final long sentMillis;
    private final long deadlineMillis;
    private Supplier<InterruptedRequest> details;
    private RunEnd end;
    private boolean silent;
    private boolean crashed;
    private long changedMillis;
    private long mayRunUntilMillis = Long.MAX_VALUE;

    SentRequest(TargetSighting target, Supplier<InterruptedRequest> details, long sentMillis, long deadlineMillis) {
        this.target = target;
        this.details = details;
        this.sentMillis = sentMillis;
        this.deadlineMillis = deadlineMillis;
        this.changedMillis = sentMillis;
    }

    // ---- queries

    /** Returns the target as it was known when the request was sent, not null. */
    public TargetSighting target() {
        return target;
    }

    /** Returns what a crash of the target interrupts, not null. */
    InterruptedRequest details() {
        return details.get();
    }

    /** Returns when the request was sent. */
    long sentMillis() {
        return sentMillis;
    }

    /** Returns when the request was sent, its target became silent or its attempt ended, whichever was last. */
    long changedMillis() {
        return changedMillis;
    }

    boolean hasEnded() {
        return end != null;
    }

    boolean isCompleted() {
        return end == RunEnd.COMPLETED;
    }

    /** Returns true if the target crashed while it may have run the request. */
    boolean isCrashed() {
        return crashed;
    }

    /** Returns true if the target may have crashed without any sign: it is silent, or nothing is awaited from it. */
    boolean isQuestionable() {
        return silent || hasEnded();
    }

    /** Returns true if a target that was alive at a time no longer ran the request then. */
    boolean isOutlivedBy(long aliveMillis) {
        return hasEnded() && aliveMillis > mayRunUntilMillis;
    }

    // ---- updates

    void becomeSilent(long nowMillis) {
        silent = true;
        changedMillis = nowMillis;
    }

    void receiveData() {
        silent = false;
    }

    /** Ends the attempt; a target may crash of a request for {@code tailMillis} after it has run it. */
    void end(RunEnd how, long nowMillis, long tailMillis) {
        end = how;
        changedMillis = nowMillis;
        long ranUntilMillis = how == RunEnd.UNKNOWN ? Math.max(deadlineMillis, nowMillis) : nowMillis;
        mayRunUntilMillis = ranUntilMillis + tailMillis;
        if (how != RunEnd.COMPLETED) {
            // kept for longer than the body of the request, which the supplier may need, should be
            InterruptedRequest known = details.get();
            details = () -> known;
        }
    }

    void crash() {
        crashed = true;
    }
}
