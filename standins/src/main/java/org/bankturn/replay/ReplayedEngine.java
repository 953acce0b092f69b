package org.bankturn.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.EngineModel;

/**
 * A simulated engine that works in passes: it reads waiting prompts, then generates some tokens of every answer.
 *
 * <p>Step times come from {@link EngineModel}; memory is not modelled. ReplayedEngine is mutable and not
 * thread-safe.
 */
final class ReplayedEngine {
    private static final double THOUSAND = 1_000;
    private static final double MILLION = 1_000_000;

    /** More passes than an engine runs in the longest delay of load reports. */
    private static final int MAX_PAST_LOADS = 64;

    /** The load at a past time. */
    private record PastLoad(double atMillis, EngineLoad load) {}

    /** The time that connections to an unresponsive engine stall before they are closed. */
    private static final double STALL_MILLIS = 1_500;

    /** The time that a crashed engine takes to restart. */
    private static final double RESTART_MILLIS = 4_000;

    private final VirtualClock time;
    private final EngineModel model;
    private final double pairsMillisPerMillion;
    private final int queueLength;
    private final String id;
    private final String dataHall;
    private final List<EngineTask> waiting = new ArrayList<>();
    private final List<EngineTask> running = new ArrayList<>();
    private final List<PastLoad> pastLoads = new ArrayList<>();
    private boolean inPass;
    private boolean unresponsive;
    private boolean down;
    private int incarnation = 1;
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

    /** Returns true if the engine has crashed and not restarted yet. */
    boolean isDown() {
        return down;
    }

    /** Returns the id of the current incarnation, or of the last one while the engine is down, not null. */
    String incarnation() {
        return id + "#" + incarnation;
    }

    double busyMillis() {
        return busyMillis;
    }

    /** Returns the load that the engine reports, not null. */
    EngineLoad load() {
        return new EngineLoad(running.size(), waiting.size(), 0, model.tokenCapacity(), slowdown, updating);
    }

    /** Returns the load that the engine had some time ago, as of the last change of its tasks then, not null. */
    EngineLoad loadBefore(long millis) {
        double at = time.now() - millis;
        while (pastLoads.size() > 1 && pastLoads.get(1).atMillis() <= at) {
            pastLoads.remove(0);
        }
        return pastLoads.isEmpty() || pastLoads.get(0).atMillis() > at
                ? EngineLoad.NONE
                : pastLoads.get(0).load();
    }

    private void recordLoad() {
        pastLoads.add(new PastLoad(time.now(), load()));
        if (pastLoads.size() > MAX_PAST_LOADS) {
            pastLoads.remove(0);
        }
    }

    /** Queues a task; returns false if the queue is full. */
    boolean offer(EngineTask task) {
        if (running.size() + waiting.size() >= model.slots() + queueLength) {
            return false;
        }
        waiting.add(task);
        waiting.sort(Comparator.comparingInt(EngineTask::urgency));
        if (!inPass && !unresponsive && !updating) {
            startPass();
        }
        return true;
    }

    /** Crashes the engine with all its tasks, and restarts it after the given time. */
    void crash(double forMillis) {
        if (down) {
            return;
        }
        down = true;
        List<EngineTask> lost = removeAllTasks();
        lost.forEach(EngineTask::interrupt);
        time.schedule(forMillis, () -> {
            down = false;
            incarnation++;
        });
    }

    /** Makes the engine unresponsive; its tasks are interrupted after a delay. */
    void becomeUnresponsive() {
        unresponsive = true;
        List<EngineTask> lost = removeAllTasks();
        time.schedule(STALL_MILLIS, () -> lost.forEach(EngineTask::interrupt));
    }

    void recover() {
        unresponsive = false;
        if (!inPass) {
            startPass();
        }
    }

    /** Announces a weights update, which load polls report. */
    void announceUpdate(double millis) {
        updateAtMillis = millis;
    }

    /** Returns the time until the announced weights update, negative if it is past or none is announced. */
    double millisUntilUpdate() {
        return updateAtMillis - time.now();
    }

    /** Updates the weights: interrupts all tasks and starts none for the given time. */
    void updateWeights(double forMillis) {
        updating = true;
        List<EngineTask> lost = removeAllTasks();
        lost.forEach(EngineTask::interrupt);
        time.schedule(forMillis, () -> {
            updating = false;
            if (!inPass) {
                startPass();
            }
        });
    }

    private List<EngineTask> removeAllTasks() {
        List<EngineTask> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        return lost;
    }

    void setSlowdown(double factor) {
        slowdown = factor;
        recordLoad();
    }

    // ---- passes

    private void startPass() {
        startNextPass();
        recordLoad();
    }

    private void startNextPass() {
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
        startPass();
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
