package org.bankturn.cli;

/** Exit codes of the tool; see docs/OPERATING.md. */
enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command line is invalid. */
    USAGE(2),
    /** The file was rejected; nothing of it was applied. */
    REFUSED(3),
    /** No address answered. */
    UNREACHABLE(4),
    /** No majority of control boxes answered; whether the file was applied is unknown, so submit it again. */
    UNKNOWN(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
