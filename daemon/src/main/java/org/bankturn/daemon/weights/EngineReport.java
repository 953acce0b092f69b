package org.bankturn.daemon.weights;

/**
 * What an engine says of its weights.
 *
 * @param model the model it holds, null if it holds none
 * @param heldVersion the version of which it holds every layer, 0 for none
 * @param busy true while it carries out an order
 */
public record EngineReport(String model, int heldVersion, boolean busy) {}
