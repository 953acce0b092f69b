package org.bankturn.daemon.entry;

import io.activej.promise.Promise;
import java.nio.charset.StandardCharsets;
import java.util.UUID;
import org.bankturn.configuration.Digest;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.ledger.RecordedResponse;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.time.Clock;

/**
 * Claims keyed requests with the control boxes before they are sent on, and records what came of them.
 *
 * <p>KeyedRequests is thread-safe.
 */
final class KeyedRequests {
    private static final long GRACE_MILLIS = 2_000;
    private static final long LONGEST_CLAIM_MILLIS = 3_000;
    private static final long RECORD_MILLIS = 5_000;
    private static final long CLEAN_UP_MILLIS = 30_000;

    private final ControlClient control;
    private final Clock clock;
    private final long lifetimeMillis;

    KeyedRequests(ControlClient control, Clock clock, long lifetimeMillis) {
        this.control = control;
        this.clock = clock;
        this.lifetimeMillis = lifetimeMillis;
    }

    String newAttempt() {
        return UUID.randomUUID().toString();
    }

    /** Asks for the claim; completes with NotExecuted if no majority answered within the request's time. */
    Promise<CommandResult> claim(CallerRequest request, String attempt) {
        long remaining = Math.max(1, request.deadlineMillis() - clock.millis());
        Command command = new Command.ClaimRequest(
                request.account().name(),
                request.idempotencyKey(),
                fingerprint(request),
                attempt,
                0,
                remaining + GRACE_MILLIS,
                lifetimeMillis);
        return Promise.ofFuture(control.submit(command, Math.min(remaining, LONGEST_CLAIM_MILLIS)));
    }

    /** Records the answer; a null answer says that the outcome is not known. Completes whether or not that worked. */
    Promise<Void> record(CallerRequest request, String attempt, RecordedResponse answer) {
        Command command =
                new Command.RecordResponse(request.account().name(), request.idempotencyKey(), attempt, answer);
        return Promise.ofFuture(control.submit(command, RECORD_MILLIS)).toVoid();
    }

    /** Takes the claim back, since the request certainly did not run; completes whether or not that worked. */
    Promise<Void> release(CallerRequest request, String attempt) {
        Command command = new Command.ReleaseClaim(request.account().name(), request.idempotencyKey(), attempt);
        return Promise.ofFuture(control.submit(command, RECORD_MILLIS)).toVoid();
    }

    /** Takes back a claim whose grant was never heard of, in the background. */
    void releaseInBackground(CallerRequest request, String attempt) {
        Command command = new Command.ReleaseClaim(request.account().name(), request.idempotencyKey(), attempt);
        Promise<CommandResult> released = Promise.ofFuture(control.submit(command, CLEAN_UP_MILLIS));
        released.toVoid();
    }

    private static String fingerprint(CallerRequest request) {
        String head = request.method() + " " + request.pathAndQuery() + "\n" + Digest.of(request.body());
        return Digest.of(head.getBytes(StandardCharsets.UTF_8));
    }
}
