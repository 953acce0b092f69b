package org.bankturn.service;

/**
 * How the weights of a service's model are cut up.
 *
 * @param model the model's name, not null
 * @param layers the layers of the model
 * @param pieces the pieces of a version
 * @param pieceBytes the size of a piece, the last one may be shorter
 */
public record WeightsLayout(String model, int layers, int pieces, int pieceBytes) {}
