package org.bankturn.replay;

/**
 * One request at one engine.
 *
 * <p>EngineTask is mutable and not thread-safe.
 */
final class EngineTask {
    private final int urgency;
    private final int promptTokens;
    private final Listener listener;
    private final boolean crashesEngine;
    private int unreadTokens;
    private int tokensLeft;
    private int tokensDone;
    private boolean cancelled;

    /** Hears of what becomes of a task. */
    interface Listener {
        /** Some more tokens were written, as one event. */
        void tokensGenerated(int tokens);

        /** Every token was written. */
        void completed();

        /** The engine broke off, and the caller notices. */
        void interrupted();
    }

    /** Returns a task that has not begun, not null. */
    static EngineTask of(int urgency, int promptTokens, int tokens, boolean crashesEngine, Listener listener) {
        return new EngineTask(urgency, promptTokens, tokens, crashesEngine, listener);
    }

    private EngineTask(int urgency, int promptTokens, int tokens, boolean crashesEngine, Listener listener) {
        this.crashesEngine = crashesEngine;
        this.urgency = urgency;
        this.promptTokens = promptTokens;
        this.unreadTokens = promptTokens;
        this.tokensLeft = tokens;
        this.listener = listener;
    }

    /** Returns true if an engine ends as it writes the first of it. */
    boolean crashesEngine() {
        return crashesEngine;
    }

    int urgency() {
        return urgency;
    }

    int unreadTokens() {
        return unreadTokens;
    }

    int promptTokens() {
        return promptTokens;
    }

    int contextTokens() {
        return promptTokens + tokensDone;
    }

    boolean isPromptRead() {
        return unreadTokens == 0;
    }

    boolean isFinished() {
        return cancelled || tokensLeft == 0;
    }

    /** Its gateway no longer wants it. */
    void cancel() {
        cancelled = true;
    }

    void readPrompt(int tokens) {
        unreadTokens -= tokens;
    }

    void generate(int tokens) {
        int written = Math.min(tokens, tokensLeft);
        tokensLeft -= written;
        tokensDone += written;
        if (cancelled) {
            return;
        }
        listener.tokensGenerated(written);
        if (tokensLeft == 0) {
            listener.completed();
        }
    }

    void interrupt() {
        if (!cancelled) {
            cancelled = true;
            listener.interrupted();
        }
    }
}
