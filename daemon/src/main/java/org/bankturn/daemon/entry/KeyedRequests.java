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
 * Claims the idempotency keys of requests with the control group before dispatch, and records the outcomes.
 *
 * <p>KeyedRequests is thread-safe.
 */
final class KeyedRequests {
    private static final long CLAIM_MARGIN_MILLIS = 2_000;
    private static final long MAX_CLAIM_TIMEOUT_MILLIS = 3_000;
    private static final long RECORD_TIMEOUT_MILLIS = 5_000;
    private static final long BACKGROUND_RELEASE_TIMEOUT_MILLIS = 30_000;

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

    /** Claims the key; completes with NotExecuted if no majority answered before the deadline of the request. */
    Promise<CommandResult> claim(CallerRequest request, String attempt) {
        long remaining = Math.max(1, request.deadlineMillis() - clock.millis());
        Command command = new Command.ClaimRequest(
                request.account().name(),
                request.idempotencyKey(),
                fingerprint(request),
                attempt,
                0,
                remaining + CLAIM_MARGIN_MILLIS,
                lifetimeMillis);
        return Promise.ofFuture(control.submit(command, Math.min(remaining, MAX_CLAIM_TIMEOUT_MILLIS)));
    }

    /** Records the response, or an unknown outcome if it is null. Completes even if recording failed. */
    Promise<Void> record(CallerRequest request, String attempt, RecordedResponse response) {
        Command command =
                new Command.RecordResponse(request.account().name(), request.idempotencyKey(), attempt, response);
        return Promise.ofFuture(control.submit(command, RECORD_TIMEOUT_MILLIS)).toVoid();
    }

    /** Releases the claim of a request that was not executed. Completes even if the release failed. */
    Promise<Void> release(CallerRequest request, String attempt) {
        Command command = new Command.ReleaseClaim(request.account().name(), request.idempotencyKey(), attempt);
        return Promise.ofFuture(control.submit(command, RECORD_TIMEOUT_MILLIS)).toVoid();
    }

    /** Releases in the background a claim that may have been granted although no reply arrived. */
    void releaseInBackground(CallerRequest request, String attempt) {
        Command command = new Command.ReleaseClaim(request.account().name(), request.idempotencyKey(), attempt);
        Promise<CommandResult> released = Promise.ofFuture(control.submit(command, BACKGROUND_RELEASE_TIMEOUT_MILLIS));
        released.toVoid();
    }

    private static String fingerprint(CallerRequest request) {
        String head = request.method() + " " + request.pathAndQuery() + "\n" + Digest.of(request.body());
        return Digest.of(head.getBytes(StandardCharsets.UTF_8));
    }
}
