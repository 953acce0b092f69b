package org.bankturn.daemon.gateway;

/**
 * What a target's head says.
 *
 * @param status the status
 * @param requestId the request it answers, null if it does not say
 * @param notRun true if the target says that it did not run the request and will not
 * @param weightsVersion the version of the weights that ran it, 0 if not told
 */
public record TargetAnswer(int status, String requestId, boolean notRun, int weightsVersion) {}
