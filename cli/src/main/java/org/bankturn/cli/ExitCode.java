package org.bankturn.cli;

/** What the tool exits with; see docs/OPERATING.md. */
enum ExitCode {
    /** The command did what it says. */
    DONE(0),
    /** The command line was not understood. */
    USAGE(2),
    /** The file was refused, and nothing of it was applied. */
    REFUSED(3),
    /** No address answered. */
    UNREACHABLE(4),
    /** No majority of control boxes answered; whether the file was applied is not known: send it again. */
    UNKNOWN(5);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    int number() {
        return number;
    }
}
