package org.bankturn.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.EngineModel;

/**
 * An engine that works in passes: it reads waiting prompts, then writes some tokens of every answer.
 *
 * <p>The times are those of {@link EngineModel}; memory is taken to be enough. ReplayedEngine is mutable and not
 * thread-safe.
 */
final class ReplayedEngine {
    private static final double THOUSAND = 1_000;
    private static final double MILLION = 1_000_000;

    /** How long what depends on an engine that went unresponsive stands still before it is cut. */
    private static final double STALL_MILLIS = 1_500;

    /** A target that ended was back after 4 s, as it was seen on a site. */
    private static final double RESTART_MILLIS = 4_000;

    private final VirtualClock time;
    private final EngineModel model;
    private final double pairsMillisPerMillion;
    private final int queueLength;
    private final String id;
    private final String dataHall;
    private final List<EngineTask> waiting = new ArrayList<>();
    private final List<EngineTask> running = new ArrayList<>();
    private boolean inPass;
    private boolean unresponsive;
    private boolean down;
    private int starts = 1;
    private boolean updating;
    private double updateAtMillis = Double.NEGATIVE_INFINITY;
    private double slowdown = 1;
    private double busyMillis;

    ReplayedEngine(VirtualClock time, LoadPattern pattern, String id, String dataHall) {
        this.time = time;
        this.model = pattern.engine().model();
        this.pairsMillisPerMillion = pattern.engine().pairsMicrosPerMillion() / THOUSAND;
        this.queueLength = pattern.engine().queue();
        this.id = id;
        this.dataHall = dataHall;
    }

    String id() {
        return id;
    }

    String dataHall() {
        return dataHall;
    }

    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns true if it has ended and not started again. */
    boolean isDown() {
        return down;
    }

    /** Returns the name of its present start, or of the last one, not null. */
    String incarnation() {
        return id + "#" + starts;
    }

    double busyMillis() {
        return busyMillis;
    }

    /** Returns what the engine says of itself, not null. */
    EngineLoad load() {
        return new EngineLoad(running.size(), waiting.size(), 0, model.tokenCapacity(), slowdown, updating);
    }

    /** Takes a task; returns false if the engine is full. */
    boolean offer(EngineTask task) {
        if (running.size() + waiting.size() >= model.slots() + queueLength) {
            return false;
        }
        waiting.add(task);
        waiting.sort(Comparator.comparingInt(EngineTask::urgency));
        if (!inPass && !unresponsive && !updating) {
            beginPass();
        }
        return true;
    }

    /** Ends, with all that was there, and starts again after a while. */
    void crash(double forMillis) {
        if (down) {
            return;
        }
        down = true;
        List<EngineTask> lost = loseAll();
        lost.forEach(EngineTask::interrupt);
        time.schedule(forMillis, () -> {
            down = false;
            starts++;
        });
    }

    /** Falls silent; what was there is cut after a while. */
    void becomeUnresponsive() {
        unresponsive = true;
        List<EngineTask> lost = loseAll();
        time.schedule(STALL_MILLIS, () -> lost.forEach(EngineTask::interrupt));
    }

    void recover() {
        unresponsive = false;
        if (!inPass) {
            beginPass();
        }
    }

    /** Is to take up newer weights, which those who ask are told. */
    void announceUpdate(double millis) {
        updateAtMillis = millis;
    }

    /** Returns how long until it takes up newer weights, negative if it did or will not. */
    double millisUntilUpdate() {
        return updateAtMillis - time.now();
    }

    /** Takes up newer weights at once: what was there is cut, and nothing is begun for a while. */
    void updateWeights(double forMillis) {
        updating = true;
        List<EngineTask> lost = loseAll();
        lost.forEach(EngineTask::interrupt);
        time.schedule(forMillis, () -> {
            updating = false;
            if (!inPass) {
                beginPass();
            }
        });
    }

    private List<EngineTask> loseAll() {
        List<EngineTask> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        return lost;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
    }

    // ---- passes

    private void beginPass() {
        running.removeIf(EngineTask::isFinished);
        waiting.removeIf(EngineTask::isFinished);
        while (running.size() < model.slots() && !waiting.isEmpty()) {
            running.add(waiting.remove(0));
        }
        if (running.isEmpty() || unresponsive || updating || down) {
            inPass = false;
            return;
        }
        inPass = true;
        List<EngineTask> writers =
                running.stream().filter(EngineTask::isPromptRead).toList();
        int steps = writers.isEmpty() ? 1 : model.stepsPerPass();
        double reading = readPrompts(steps * model.promptTokensPerStep());
        List<EngineTask> writing =
                running.stream().filter(EngineTask::isPromptRead).toList();
        double took = slowdown * (reading + (writing.isEmpty() ? 0 : model.stepsPerPass() * stepMillis(writing)));
        busyMillis += took;
        time.schedule(took, () -> endPass(writing));
    }

    private double readPrompts(int mostTokens) {
        int left = mostTokens;
        double millis = 0;
        for (EngineTask task : running) {
            int tokens = Math.min(left, task.unreadTokens());
            if (tokens > 0) {
                double before = task.promptTokens() - task.unreadTokens();
                double pairs = tokens * before + tokens * (double) tokens / 2;
                millis += tokens / model.promptTokensPerMillisecond() + pairs / MILLION * pairsMillisPerMillion;
                task.readPrompt(tokens);
                left -= tokens;
            }
        }
        return millis;
    }

    private double stepMillis(List<EngineTask> writing) {
        double context = writing.stream().mapToInt(EngineTask::contextTokens).sum() / THOUSAND;
        return model.stepMillis()
                + model.stepMillisPerRequest() * writing.size()
                + model.stepMillisPerThousandTokens() * context;
    }

    private void endPass(List<EngineTask> writing) {
        if (!unresponsive && !updating) {
            writing.stream().filter(running::contains).toList().forEach(this::write);
        }
        beginPass();
    }

    private void write(EngineTask task) {
        if (down) {
            return;
        }
        if (task.crashesEngine()) {
            crash(RESTART_MILLIS);
            return;
        }
        task.generate(model.stepsPerPass());
    }
}
