package org.bankturn.routing;

/**
 * What came of sending a request to one target.
 *
 * @param <A> the type of an answer
 */
public sealed interface AttemptOutcome<A> {
    /** The target answered; {@code answer} may still be streaming. */
    record Answered<A>(A answer) implements AttemptOutcome<A> {}

    /** It certainly did not run. */
    record NotRun<A>(NotRunProof proof) implements AttemptOutcome<A> {}

    /** It may have run. */
    record Unknown<A>(String reason) implements AttemptOutcome<A> {}

    /**
     * Tells whether another target may be tried.
     *
     * @param safeToRepeat true if the request may run more than once
     * @return true if it did not run, or may run again
     */
    default boolean mayTryAnother(boolean safeToRepeat) {
        return this instanceof NotRun || (this instanceof Unknown && safeToRepeat);
    }
}
