package org.bankturn.daemon.observe;

import io.activej.common.exception.FatalErrorHandler;
import java.util.Arrays;

/**
 * Logs and counts unhandled errors on event loops.
 *
 * <p>Such an error indicates a bug: the interrupted operation, a request for example, does not continue and ends only by
 * its timeout. UnhandledErrorHandler is thread-safe.
 */
public final class UnhandledErrorHandler implements FatalErrorHandler {
    private static final String OWN_PACKAGE = "org.bankturn.";
    private static final String UNKNOWN_LOCATION = "unknown";

    private final DecisionLog log;
    private final ServingMetrics metrics;

    /** Returns a handler, not null. */
    public static UnhandledErrorHandler of(DecisionLog log, ServingMetrics metrics) {
        return new UnhandledErrorHandler(log, metrics);
    }

    private UnhandledErrorHandler(DecisionLog log, ServingMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    @Override
    public void handle(Throwable error, Object context) {
        metrics.errorThrown();
        log.line(DecisionKind.ERROR)
                .with(DecisionField.ERROR, error)
                .with(DecisionField.AT_CODE, sourceLocation(error))
                .write();
    }

    /** Returns the innermost stack frame in bankturn code. */
    private static String sourceLocation(Throwable error) {
        return Arrays.stream(error.getStackTrace())
                .filter(frame -> frame.getClassName().startsWith(OWN_PACKAGE))
                .findFirst()
                .map(StackTraceElement::toString)
                .orElse(UNKNOWN_LOCATION);
    }
}
