package org.bankturn.routing;

import java.util.HashSet;
import java.util.Set;
import org.bankturn.service.Route;
import org.bankturn.service.Service;

/**
 * How far a request has come: where it was sent, and whether it may have run.
 *
 * <p>A request may be refused as not run only while {@link #mayHaveRun()} is false: no byte of it left, or every target that
 * got it said that it did not run it. RequestProgress is mutable and not thread-safe.
 */
public final class RequestProgress {
    private final Route route;
    private final Service service;
    private final int promptTokens;
    private final long deadlineMillis;
    private final Set<String> triedTargets = new HashSet<>();
    private int sends;
    private boolean localPolled;
    private boolean remotePolled;
    private int failedConnections;
    private boolean markCallerRetry;
    private boolean mayHaveRun;
    private boolean earlierMayHaveRun;
    private String lastEventId;
    private long permitWaitDeadlineMillis = Long.MAX_VALUE;

    /**
     * Returns the progress of a request that went nowhere yet, not null.
     *
     * @param route its route, not null
     * @param service the service that runs it, not null
     * @param promptTokens the size of its prompt, 0 if it has none
     * @param deadlineMillis when it must have its final answer
     */
    public static RequestProgress of(Route route, Service service, int promptTokens, long deadlineMillis) {
        return new RequestProgress(route, service, promptTokens, deadlineMillis);
    }

    private RequestProgress(Route route, Service service, int promptTokens, long deadlineMillis) {
        this.route = route;
        this.service = service;
        this.promptTokens = promptTokens;
        this.deadlineMillis = deadlineMillis;
    }

    // ---- queries

    /** Returns the request's route, not null. */
    public Route route() {
        return route;
    }

    /** Returns the service that runs it, not null. */
    public Service service() {
        return service;
    }

    /** Returns the size of its prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns when it must have its final answer. */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /** Returns the incarnations that it was sent to, not null. */
    public Set<String> triedTargets() {
        return Set.copyOf(triedTargets);
    }

    /** Returns true if engines of the own data hall were asked for its sake since it was last sent. */
    boolean localPolled() {
        return localPolled;
    }

    /** Returns true if engines of other data halls were asked for its sake since it was last sent. */
    boolean remotePolled() {
        return remotePolled;
    }

    /** Returns until when it may wait for a permit, Long.MAX_VALUE if it has not begun to. */
    long permitWaitDeadlineMillis() {
        return permitWaitDeadlineMillis;
    }

    /** Returns how often it left for a target. */
    public int sends() {
        return sends;
    }

    /** Returns true if its caller was refused before and has come back. */
    public boolean isCallerRetry() {
        return markCallerRetry;
    }

    /** Returns how many targets could not be connected to. */
    public int failedConnections() {
        return failedConnections;
    }

    /** Returns false only if it certainly did not run and never will. */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Returns the id of the last event that the caller has whole, null if there is none. */
    public String lastEventId() {
        return lastEventId;
    }

    // ---- what happens to it

    /** Its caller was refused before and has come back. */
    void markCallerRetry() {
        markCallerRetry = true;
    }

    /** It begins to wait for a permit, unless it did before. */
    void limitPermitWait(long millis) {
        permitWaitDeadlineMillis = Math.min(permitWaitDeadlineMillis, millis);
    }

    /** Engines of the own data hall are asked for its sake. */
    void markLocalPolled() {
        localPolled = true;
    }

    /** Engines of other data halls are asked for its sake. */
    void markRemotePolled() {
        remotePolled = true;
    }

    /** A target was chosen for it. */
    void targetChosen(String target) {
        triedTargets.add(target);
        localPolled = false;
        remotePolled = false;
    }

    /** The target that was chosen for it must not get it now; nothing left. */
    public void targetHeldBack(String target) {
        triedTargets.remove(target);
    }

    /** It is about to leave for a target. */
    public void sent() {
        sends++;
        mayHaveRun = true;
    }

    /** The target that got it last said that it did not run it. */
    public void notRun() {
        mayHaveRun = earlierMayHaveRun;
    }

    /** It may have run at a target, wholly or in part. */
    public void outcomeUnknown() {
        earlierMayHaveRun = true;
    }

    /** No connection to a target was made, so nothing left. */
    public void connectionFailed() {
        failedConnections++;
    }

    /** The caller has one more whole event; one without an id leaves the last one as it was. */
    public void eventForwarded(String eventId) {
        lastEventId = eventId != null ? eventId : lastEventId;
    }

    @Override
    public String toString() {
        return "RequestProgress[" + route.name() + ", " + sends + " sends]";
    }
}
