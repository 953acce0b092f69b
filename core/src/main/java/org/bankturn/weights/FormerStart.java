package org.bankturn.weights;

/**
 * What is known about a start order that a former process may have sent without an answer.
 *
 * @param state whether the engine may still execute such an order, not null
 * @param version the version that the order names, 0 unless the order is possible
 */
public record FormerStart(State state, int version) {
    /** Whether the engine may still execute an order of a former process. */
    public enum State {
        /** No such order can load anything but whole weights. */
        NONE,
        /** Such an order is possible, for one version only. */
        POSSIBLE,
        /** What lies staged is not recognised. */
        UNKNOWN
    }

    private static final FormerStart NONE = new FormerStart(State.NONE, 0);
    private static final FormerStart UNKNOWN = new FormerStart(State.UNKNOWN, 0);

    /** Returns the finding that no order can take a harmful effect, not null. */
    public static FormerStart none() {
        return NONE;
    }

    /** Returns the finding that an order for a version is possible, not null. */
    public static FormerStart of(int version) {
        if (version < 1) {
            throw new IllegalArgumentException("version must be positive: " + version);
        }
        return new FormerStart(State.POSSIBLE, version);
    }

    /** Returns the finding that an order for any version is possible, not null. */
    public static FormerStart unknown() {
        return UNKNOWN;
    }
}
