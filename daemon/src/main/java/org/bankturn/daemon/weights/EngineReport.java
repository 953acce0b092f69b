package org.bankturn.daemon.weights;

import org.bankturn.routing.EngineLoad;

/**
 * What an engine says of its weights.
 *
 * @param model the model it holds, null if it holds none
 * @param heldVersion the version of which it holds every layer, 0 for none
 * @param busy true while it carries out an order
 * @param load what it says of its load, not null
 */
public record EngineReport(String model, int heldVersion, boolean busy, EngineLoad load) {}
