package org.bankturn.weights;

/**
 * A box that takes part in a distribution.
 *
 * @param box the box, named by where its process is reached, not null
 * @param dataHall the data hall it is in, not null
 * @param heldVersion the version that its engine holds whole, 0 for none
 */
public record WeightsPeer(String box, String dataHall, int heldVersion) {}
