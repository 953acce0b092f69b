package org.bankturn.service;

/**
 * The division of a model's weights into pieces.
 *
 * @param model the model name, not null
 * @param layers the number of layers of the model
 * @param pieces the number of pieces of a version
 * @param pieceBytes the size of a piece; the last piece may be shorter
 */
public record WeightsLayout(String model, int layers, int pieces, int pieceBytes) {}
