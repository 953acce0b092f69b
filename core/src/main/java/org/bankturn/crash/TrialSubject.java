package org.bankturn.crash;

/** Something condemned by crashes that a trial may clear; the control group limits the trials of all gateways. */
public interface TrialSubject {
    /**
     * The maximum number of trials of a condemned subject. Trials clear what was condemned without being the cause; the
     * cause crashes that many further targets.
     */
    int MAX_TRIALS = 2;

    /** Returns the number of trials that were taken. */
    int trials();

    /** Returns the process that took the last trial, null if there was none. */
    String trialBy();

    /** Returns the index of the log entry that last changed the subject, 0 if only this process observed it. */
    long changedIndex();

    /** Returns true if the trial with a number, starting at 1, may be taken. */
    boolean isTrialAvailable(int number);
}
