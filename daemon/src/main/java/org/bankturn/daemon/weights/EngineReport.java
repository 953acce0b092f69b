package org.bankturn.daemon.weights;

import org.bankturn.routing.EngineLoad;

/**
 * The state of an engine and of its weights, as the engine reports it.
 *
 * @param model the loaded model, null if none is loaded
 * @param heldVersion the version whose layers are all loaded, 0 for none
 * @param busy true while an order is being executed
 * @param revision the number of orders that the engine has begun since it started
 * @param load the reported load, not null
 */
public record EngineReport(String model, int heldVersion, boolean busy, long revision, EngineLoad load) {}
