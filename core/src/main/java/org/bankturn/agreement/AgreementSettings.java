package org.bankturn.agreement;

/**
 * Timing and sizes of an agreement group.
 *
 * @param electionTimeoutMillis silence after which a member stands for election; drawn between one and two of these
 * @param heartbeatMillis the time between a leader's messages, well below the election timeout
 * @param batchEntries entries in one message at most
 */
public record AgreementSettings(long electionTimeoutMillis, long heartbeatMillis, int batchEntries) {
    /** Settings for halls a few milliseconds apart. */
    public static final AgreementSettings DEFAULT = new AgreementSettings(1_000, 150, 64);

    public AgreementSettings {
        if (heartbeatMillis <= 0 || electionTimeoutMillis < 3 * heartbeatMillis) {
            throw new IllegalArgumentException("electionTimeoutMillis must be three heartbeats or more: "
                    + electionTimeoutMillis + " against " + heartbeatMillis);
        }
    }
}
