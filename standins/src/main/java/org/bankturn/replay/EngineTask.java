package org.bankturn.replay;

/**
 * An attempt to serve a request on one simulated engine.
 *
 * <p>EngineTask is mutable and not thread-safe.
 */
final class EngineTask {
    private final int urgency;
    private final int promptTokens;
    private final Listener listener;
    private final boolean crashesEngine;
    private int unreadTokens;
    private int remainingTokens;
    private int generatedTokens;
    private boolean cancelled;

    /** Receives the progress and the outcome of a task. */
    interface Listener {
        /** Called for each event, with the number of tokens that it carries. */
        void tokensGenerated(int tokens);

        /** Called when the answer is complete. */
        void completed();

        /** Called when the engine drops the task and closes the connection. */
        void interrupted();
    }

    /** Creates a task that has not started, not null. */
    static EngineTask of(int urgency, int promptTokens, int tokens, boolean crashesEngine, Listener listener) {
        return new EngineTask(urgency, promptTokens, tokens, crashesEngine, listener);
    }

    private EngineTask(int urgency, int promptTokens, int tokens, boolean crashesEngine, Listener listener) {
        this.crashesEngine = crashesEngine;
        this.urgency = urgency;
        this.promptTokens = promptTokens;
        this.unreadTokens = promptTokens;
        this.remainingTokens = tokens;
        this.listener = listener;
    }

    /** Returns true if an engine crashes when it generates the first tokens of this task. */
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
        return promptTokens + generatedTokens;
    }

    boolean isPromptRead() {
        return unreadTokens == 0;
    }

    boolean isFinished() {
        return cancelled || remainingTokens == 0;
    }

    /** Cancels the task; its listener is not called again. */
    void cancel() {
        cancelled = true;
    }

    void readPrompt(int tokens) {
        unreadTokens -= tokens;
    }

    void generate(int tokens) {
        int generated = Math.min(tokens, remainingTokens);
        remainingTokens -= generated;
        generatedTokens += generated;
        if (cancelled) {
            return;
        }
        listener.tokensGenerated(generated);
        if (remainingTokens == 0) {
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
