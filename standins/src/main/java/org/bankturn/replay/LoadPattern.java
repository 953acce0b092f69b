package org.bankturn.replay;

import java.util.List;
import org.bankturn.service.EngineModel;

/**
 * A load to replay: who calls what, what there is to serve it, and what happens meanwhile.
 *
 * @param name its name, not null
 * @param seconds how long it lasts
 * @param halls the data halls
 * @param gatewaysPerHall the gateways in each
 * @param enginesPerHall the engines in each, at the start
 * @param callersPerHall the callers in each; a caller keeps its gateway until it is refused or fails
 * @param crossHallMillis the way from one data hall to another, one way
 * @param engine what engines are like, not null
 * @param load how much is called, over time, not null
 * @param kinds what is called, not null
 * @param events what happens meanwhile, not null
 * @param callersRetryFailures true if a caller whose request failed tries once more at once
 */
public record LoadPattern(
        String name,
        int seconds,
        int halls,
        int gatewaysPerHall,
        int enginesPerHall,
        int callersPerHall,
        double crossHallMillis,
        Engine engine,
        List<Step> load,
        List<Kind> kinds,
        List<Event> events,
        boolean callersRetryFailures) {
    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the lists. */
    public LoadPattern {
        load = List.copyOf(load);
        kinds = List.copyOf(kinds);
        events = List.copyOf(events);
    }

    /**
     * What engines are like.
     *
     * @param model their times and places, not null
     * @param pairsMicrosPerMillion what a million pairs of prompt tokens add to reading, in microseconds
     * @param queue the requests that wait beyond the places
     */
    public record Engine(EngineModel model, int pairsMicrosPerMillion, int queue) {}

    /**
     * How much is called from a moment on.
     *
     * @param atMillis the moment, from the start
     * @param percent the load, in percent of what the engines bear that are there at the start
     */
    public record Step(long atMillis, int percent) {}

    /**
     * A kind of request.
     *
     * @param name its name, not null
     * @param share its share of the requests, against the other kinds
     * @param promptTokens the mean size of its prompts
     * @param answerTokens the mean size of its answers
     * @param objectiveMillis the time within which the first event is in time
     * @param pauseMillis the longest pause between events that is in time
     * @param deadlineMillis how long callers wait
     * @param priority its rank, 0 first
     */
    public record Kind(
            String name,
            int share,
            int promptTokens,
            int answerTokens,
            int objectiveMillis,
            int pauseMillis,
            int deadlineMillis,
            int priority) {}

    /**
     * Something that happens.
     *
     * @param type its type, not null
     * @param atMillis when, from the start
     * @param percent the share of the engines that it happens to
     * @param forMillis how long it lasts for each
     * @param overMillis the time over which it happens to one engine after the other
     * @param factor how strong it is, if that matters
     */
    public record Event(
            ReplayEventType type, long atMillis, int percent, long forMillis, long overMillis, int factor) {}

    /** Returns the requests a second that the engines bear which are there at the start. */
    public double capacityPerSecond() {
        EngineModel model = engine.model();
        double prompt = mean(Kind::promptTokens);
        double passes = mean(Kind::answerTokens) / model.stepsPerPass();
        double begunPerPass = model.slots() / passes;
        double context = model.slots() * (prompt + mean(Kind::answerTokens) / 2) / MILLIS_PER_SECOND;
        double step = model.stepMillis()
                + model.slots() * model.stepMillisPerRequest()
                + context * model.stepMillisPerThousandTokens();
        double pass = model.stepsPerPass() * step + begunPerPass * prompt / model.promptTokensPerMillisecond();
        return halls * enginesPerHall * begunPerPass / pass * MILLIS_PER_SECOND;
    }

    /** Returns the requests a second at a moment. */
    double requestsPerSecond(double atMillis) {
        int percent = 0;
        for (Step step : load) {
            if (step.atMillis() <= atMillis) {
                percent = step.percent();
            }
        }
        return capacityPerSecond() * percent / PERCENT;
    }

    private double mean(java.util.function.ToIntFunction<Kind> size) {
        double shares = kinds.stream().mapToInt(Kind::share).sum();
        return kinds.stream()
                .mapToDouble(kind -> kind.share() * size.applyAsInt(kind) / shares)
                .sum();
    }
}
