package org.bankturn.publication;

/**
 * A version of a model's weights that operators named.
 *
 * @param model the model's name, not null
 * @param version the newest named version
 * @param index the log entry that named it
 */
public record NamedWeights(String model, int version, long index) {}
