package org.bankturn.crash;

/**
 * A prompt part of a request that ran to its end, which shows that the part did not crash the target.
 *
 * @param part the id of the part, not null
 * @param weightsVersion the version of the weights that served the request, -1 if the target needs none
 * @param knownIndex the index of the published state that the gateway knew when it sent the request; crashes that this
 *     state contains happened before the request ran
 */
public record CompletedPart(String part, int weightsVersion, long knownIndex) {}
