package org.bankturn.weights;

import java.util.Objects;

/**
 * An order to an engine to load staged weights, to be executed only in one state of the engine.
 *
 * @param model the name of the model, not null
 * @param version the version of the weights
 * @param method how the engine switches to them, not null
 * @param expectedInstance the incarnation of the engine that the order is for, empty if it is not known
 * @param expectedRevision the number of orders that this incarnation must have begun before this one
 */
public record StartOrder(
        String model, int version, ChangeMethod method, String expectedInstance, long expectedRevision) {
    /** Checks that no reference is null. */
    public StartOrder {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(method, "method");
        Objects.requireNonNull(expectedInstance, "expectedInstance");
    }
}
