package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.bankturn.service.Account;
import org.bankturn.service.Route;
import org.bankturn.service.Service;

/**
 * The progress of a request: the targets it was sent to and whether it may have been executed.
 *
 * <p>A request may be rejected as not executed only while {@link #mayHaveRun()} is false: no data was sent, or every
 * target that received it reported that it did not execute it. RequestProgress is mutable and not thread-safe.
 */
public final class RequestProgress {
    /** The least urgent priority. */
    static final int LOWEST_PRIORITY = 9;

    private final Route route;
    private final Account account;
    private final Service service;
    private final int promptTokens;
    private long deadlineMillis;
    private final Map<String, Integer> triedVersions = new HashMap<>();

    /** How often it was sent to each target and not rejected. */
    private final Map<String, Integer> possibleRuns = new HashMap<>();

    private String chosenTarget = "";
    private Integer earlierTriedVersion;
    private int sends;
    private int rejections;
    private boolean begun;
    private boolean localPolled;
    private boolean remotePolled;
    private int failedConnections;
    private boolean callerRetry;
    private String lastEventId;
    private long lastEventMillis;
    private long permitWaitDeadlineMillis = Long.MAX_VALUE;

    /** Returns the progress of an anonymous request that was not sent yet, not null. */
    public static RequestProgress of(Route route, Service service, int promptTokens, long deadlineMillis) {
        return of(route, null, service, promptTokens, deadlineMillis);
    }

    /**
     * Returns the progress of a request that was not sent yet, not null.
     *
     * @param route its route, not null
     * @param account its client account, null if it is anonymous
     * @param service the service that serves it, not null
     * @param promptTokens the size of its prompt, 0 if it has none
     * @param deadlineMillis the deadline for its final response
     */
    public static RequestProgress of(
            Route route, Account account, Service service, int promptTokens, long deadlineMillis) {
        return new RequestProgress(route, account, service, promptTokens, deadlineMillis);
    }

    private RequestProgress(Route route, Account account, Service service, int promptTokens, long deadlineMillis) {
        this.route = route;
        this.account = account;
        this.service = service;
        this.promptTokens = promptTokens;
        this.deadlineMillis = deadlineMillis;
    }

    // ---- queries

    /** Returns the request's route at its arrival, not null. */
    public Route route() {
        return route;
    }

    /** Returns the account that sent the request, as it was at its arrival, empty if the request is anonymous. */
    public Optional<Account> account() {
        return Optional.ofNullable(account);
    }

    /** Returns the name of its client account, empty if it is anonymous, not null. */
    String accountName() {
        return account == null ? "" : account.name();
    }

    /** Returns the priority of its account if that has one, otherwise of its route; from 0, the most urgent, to 9. */
    public int priority() {
        int priority = account != null && account.priority() >= 0 ? account.priority() : route.priority();
        return clampedPriority(priority);
    }

    /** Returns a priority within 0 to 9. */
    static int clampedPriority(int priority) {
        return Math.max(0, Math.min(LOWEST_PRIORITY, priority));
    }

    /** Returns the service that serves it, not null. */
    public Service service() {
        return service;
    }

    /** Returns the size of its prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the deadline for its final response. */
    public long deadlineMillis() {
        return deadlineMillis;
    }

    /** Returns the incarnations that it was sent to, not null. */
    public Set<String> triedTargets() {
        return Set.copyOf(triedVersions.keySet());
    }

    /** Returns the incarnations that it was sent to, with the version of the weights that each held then, not null. */
    Map<String, Integer> triedVersions() {
        return Map.copyOf(triedVersions);
    }

    /** Returns the incarnations that may have executed it, not null. */
    Set<String> runTargets() {
        return Set.copyOf(possibleRuns.keySet());
    }

    /** Returns true if local engines were polled for it since it was last sent. */
    boolean localPolled() {
        return localPolled;
    }

    /** Returns true if engines of other data halls were polled for it since it was last sent. */
    boolean remotePolled() {
        return remotePolled;
    }

    /** Returns the deadline of its wait for a permit, Long.MAX_VALUE if it has not waited. */
    long permitWaitDeadlineMillis() {
        return permitWaitDeadlineMillis;
    }

    /** Returns how often it was sent to a target. */
    public int sends() {
        return sends;
    }

    /** Returns how many targets reported that they did not execute it. */
    int rejections() {
        return rejections;
    }

    /** Returns true if part of the response was forwarded to the caller, so that it can no longer be rejected. */
    public boolean hasBegun() {
        return begun;
    }

    /** Returns true if its caller was rejected before and retries. */
    public boolean isCallerRetry() {
        return callerRetry;
    }

    /** Returns the number of failed connections. */
    public int failedConnections() {
        return failedConnections;
    }

    /** Returns false only if it was certainly not executed and never will be. */
    public boolean mayHaveRun() {
        return !possibleRuns.isEmpty();
    }

    /** Returns the id of the last event that was forwarded to the caller, null if there is none. */
    public String lastEventId() {
        return lastEventId;
    }

    /** Returns when the last event was forwarded to the caller, if it has begun. */
    long lastEventMillis() {
        return lastEventMillis;
    }

    // ---- updates

    /** Marks it as a retry of a rejected caller. */
    void markCallerRetry() {
        callerRetry = true;
    }

    /** Brings its deadline forward, unless there is an earlier one. */
    public void limitDeadline(long millis) {
        deadlineMillis = Math.min(deadlineMillis, millis);
    }

    /** Sets the deadline of its wait for a permit, unless there is an earlier one. */
    void limitPermitWait(long millis) {
        permitWaitDeadlineMillis = Math.min(permitWaitDeadlineMillis, millis);
    }

    /** Records that local engines are polled for it. */
    void markLocalPolled() {
        localPolled = true;
    }

    /** Records that engines of other data halls are polled for it. */
    void markRemotePolled() {
        remotePolled = true;
    }

    /** Records that it waits for a target, after which load is polled again. */
    void targetAwaited() {
        localPolled = false;
        remotePolled = false;
    }

    /** Records that a target was chosen for it, and the version of the weights that the target holds. */
    void targetChosen(String target, int heldVersion) {
        chosenTarget = target;
        earlierTriedVersion = triedVersions.put(target, heldVersion);
        localPolled = false;
        remotePolled = false;
    }

    /** Records that the chosen target is held back, so nothing was sent. */
    public void targetHeldBack(String target) {
        if (earlierTriedVersion == null) {
            triedVersions.remove(target);
        } else {
            triedVersions.put(target, earlierTriedVersion);
        }
    }

    /** Records that it is about to be sent to the chosen target. */
    public void sent() {
        sends++;
        possibleRuns.merge(chosenTarget, 1, Integer::sum);
    }

    /** Records that the target chosen last reported that it did not execute it. */
    public void notRun() {
        notRun(chosenTarget);
    }

    /** Records that a target reported that it did not execute it, possibly after others were chosen. */
    public void notRun(String target) {
        rejections++;
        possibleRuns.computeIfPresent(target, (id, runs) -> runs == 1 ? null : runs - 1);
    }

    /** Records that no connection to a target was established, so nothing was sent. */
    public void connectionFailed() {
        failedConnections++;
    }

    /**
     * Records that an event was forwarded to the caller.
     *
     * @param eventId the id of the event; null leaves the last id unchanged
     * @param nowMillis the current time
     */
    public void eventForwarded(String eventId, long nowMillis) {
        begun = true;
        lastEventId = eventId != null ? eventId : lastEventId;
        lastEventMillis = nowMillis;
    }

    @Override
    public String toString() {
        return "RequestProgress[" + route.name() + ", " + sends + " sends]";
    }
}
