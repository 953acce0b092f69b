package org.bankturn.publication;

/**
 * The version of a model's weights selected by operators.
 *
 * @param model the model's name, not null
 * @param version the highest selected version
 * @param index the index of the log entry that selected it
 */
public record NamedWeights(String model, int version, long index) {}
