package org.bankturn.routing;

/**
 * How often all processes of a deployment together may send requests again.
 *
 * @param share retries per request
 * @param allowance retries on top of that share within a window
 * @param windowMillis the length of the sliding window
 */
public record RetryLimits(double share, int allowance, long windowMillis) {}
