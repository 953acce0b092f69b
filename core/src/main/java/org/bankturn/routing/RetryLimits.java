package org.bankturn.routing;

/**
 * The retry limits of all processes of a deployment together.
 *
 * @param share retries per request
 * @param allowance additional retries per window
 * @param windowMillis the length of the sliding window
 */
public record RetryLimits(double share, int allowance, long windowMillis) {}
