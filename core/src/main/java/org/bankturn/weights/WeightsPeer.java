package org.bankturn.weights;

/**
 * A box that takes part in the distribution of weights.
 *
 * @param box the name of the box, which is the address of its process, not null
 * @param dataHall the data hall of the box, not null
 * @param heldVersion the version that its engine has loaded completely, 0 for none
 */
public record WeightsPeer(String box, String dataHall, int heldVersion) {}
