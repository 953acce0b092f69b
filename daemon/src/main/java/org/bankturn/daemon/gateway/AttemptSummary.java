package org.bankturn.daemon.gateway;

/**
 * The ending of one attempt at a request.
 *
 * @param ending how it ended, not null
 * @param status the status of the target's response, 0 if none was received
 * @param targetId the incarnation of the target, not null
 * @param durationMillis the time from its start, which includes connecting
 * @param silentMillis the time since the target last sent data, or since the request was sent; 0 if it was not sent
 * @param silenceLimitMillis the time that the target could send nothing before the request was moved, 0 if not sent
 */
record AttemptSummary(
        AttemptEnding ending,
        int status,
        String targetId,
        long durationMillis,
        long silentMillis,
        long silenceLimitMillis) {
    @Override
    public String toString() {
        String outcome = status == 0 ? ending.label() : ending.label() + " " + status;
        return outcome + " " + targetId + " after " + durationMillis + " ms, silent for " + silentMillis + " ms";
    }
}
