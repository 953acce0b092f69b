package org.bankturn.weights;

import java.util.Objects;

/**
 * An order to an engine to load staged weights, to be executed only in one state of the engine.
 *
 * @param model the name of the model, not null
 * @param version the version of the weights
 * @param method how the engine switches to them, not null
 * @param expectedRevision the number of orders that the engine must have begun before this one
 */
public record StartOrder(String model, int version, ChangeMethod method, long expectedRevision) {
    /** Checks that the model and the method are given. */
    public StartOrder {
        Objects.requireNonNull(model, "model");
        Objects.requireNonNull(method, "method");
    }
}
