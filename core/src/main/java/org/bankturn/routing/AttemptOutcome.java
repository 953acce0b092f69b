package org.bankturn.routing;

/**
 * The outcome of sending a request to one target.
 *
 * @param <A> the type of an answer
 */
public sealed interface AttemptOutcome<A> {
    /** The target responded; {@code answer} may still be streaming. */
    record Answered<A>(A answer) implements AttemptOutcome<A> {}

    /** The request was provably not executed. */
    record NotRun<A>(NotRunProof proof) implements AttemptOutcome<A> {}

    /** The request may have been executed. */
    record Unknown<A>(String reason) implements AttemptOutcome<A> {}

    /**
     * Returns whether another target may be tried.
     *
     * @param safeToRepeat true if the request is safe to execute more than once
     * @return true if the request was not executed or is safe to repeat
     */
    default boolean mayTryAnother(boolean safeToRepeat) {
        return this instanceof NotRun || (this instanceof Unknown && safeToRepeat);
    }
}
