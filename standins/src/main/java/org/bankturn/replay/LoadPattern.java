package org.bankturn.replay;

import java.util.List;
import org.bankturn.service.EngineModel;

/**
 * A load to replay: the deployment, the request rates and the injected events.
 *
 * @param name the name of the pattern, not null
 * @param seconds the duration
 * @param halls the number of data halls
 * @param gatewaysPerHall the number of gateways in each data hall
 * @param enginesPerHall the number of engines in each data hall at the start
 * @param callersPerHall the number of callers in each data hall; a caller changes its gateway only to retry
 * @param crossHallMillis the one-way latency between data halls
 * @param engine the engine model, not null
 * @param load the request rate over time, not null
 * @param kinds the mix of requests, not null
 * @param events the injected events, not null
 * @param accounts the client accounts, empty if all callers are anonymous, not null
 * @param surges the periods in which some of the demand is higher, not null
 * @param callersRetryFailures true if a caller retries a failed request once, immediately
 * @param loadReportDelayMillis how much older the load in a report is than the report says
 * @param sharedParts for each shared part of a prompt, in order, how many different ones there are per kind of request and
 *     part before it; empty if prompts have no parts, not null
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
        List<Account> accounts,
        List<Surge> surges,
        boolean callersRetryFailures,
        long loadReportDelayMillis,
        List<SharedPart> sharedParts) {
    /** The account of callers without one. */
    static final Account ANONYMOUS = new Account("", 1, -1);

    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** Copies the lists. */
    public LoadPattern {
        load = List.copyOf(load);
        kinds = List.copyOf(kinds);
        events = List.copyOf(events);
        accounts = List.copyOf(accounts);
        surges = List.copyOf(surges);
        sharedParts = List.copyOf(sharedParts);
    }

    /**
     * A part of prompts that several requests share; the nth of the different ones is 1/sqrt(n) times as popular as the first.
     *
     * @param count the number of different ones
     */
    public record SharedPart(int count) {}

    /**
     * The parameters of the engines.
     *
     * @param model step times and slots, not null
     * @param pairsMicrosPerMillion additional prefill time per million pairs of prompt tokens, in microseconds
     * @param queue the length of the queue of requests without a slot
     */
    public record Engine(EngineModel model, int pairsMicrosPerMillion, int queue) {}

    /**
     * A change of the request rate.
     *
     * @param atMillis the time of the change, from the start
     * @param percent the load, in percent of the capacity of the initial engines
     */
    public record Step(long atMillis, int percent) {}

    /**
     * A kind of request.
     *
     * @param name the name, not null
     * @param share the relative weight among all kinds
     * @param promptTokens the mean prompt length
     * @param answerTokens the mean answer length
     * @param objectiveMillis the latency objective of the first event
     * @param pauseMillis the objective for the longest gap between events
     * @param deadlineMillis the time after which callers give up
     * @param priority the priority, 0 is highest
     * @param promptSpread the coefficient of variation of log-normal prompt lengths, 0 for exponential ones
     * @param maxPromptTokens the longest prompt
     * @param maxAnswerTokens the longest answer
     * @param credit the credit for an answer in time
     * @param lateCredit the credit for a late answer
     */
    public record Kind(
            String name,
            int share,
            int promptTokens,
            int answerTokens,
            int objectiveMillis,
            int pauseMillis,
            int deadlineMillis,
            int priority,
            double promptSpread,
            int maxPromptTokens,
            int maxAnswerTokens,
            double credit,
            double lateCredit) {}

    /**
     * A client account, which sends all kinds of requests.
     *
     * @param name the name, not null
     * @param share the relative weight among all accounts
     * @param priority the priority of its requests, 0 is highest; -1 to use the priority of the kind
     */
    public record Account(String name, int share, int priority) {}

    /**
     * A period in which some of the demand is higher.
     *
     * @param kind the kind of request, empty for all, not null
     * @param account the account, empty for all, not null
     * @param atMillis the start time, from the start of the replay
     * @param forMillis the duration
     * @param percent the rate, in percent of the rate outside the period
     */
    public record Surge(String kind, String account, long atMillis, long forMillis, int percent) {
        private boolean isActive(double millis) {
            return millis >= atMillis && millis < atMillis + forMillis;
        }

        private boolean applies(Kind ofKind, Account ofAccount) {
            return (kind.isEmpty() || kind.equals(ofKind.name()))
                    && (account.isEmpty() || account.equals(ofAccount.name()));
        }
    }

    /**
     * An injected event.
     *
     * @param type the type, not null
     * @param atMillis the start time, from the start of the replay
     * @param percent the percentage of engines that are affected
     * @param forMillis the duration for each engine
     * @param overMillis the time over which the affected engines are staggered
     * @param factor the slowdown factor, for SLOW and SLOW_PERIODS
     */
    public record Event(
            ReplayEventType type, long atMillis, int percent, long forMillis, long overMillis, double factor) {}

    /** Returns the capacity of the initial engines, in requests per second. */
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

    /** Returns the request rate at the given time, in requests per second. */
    double requestsPerSecond(double atMillis) {
        int percent = 0;
        for (Step step : load) {
            if (step.atMillis() <= atMillis) {
                percent = step.percent();
            }
        }
        return capacityPerSecond() * percent / PERCENT * surgeFactor(atMillis);
    }

    /** Returns the weight of the requests of a kind and an account at the given time. */
    double weight(Kind kind, Account account, double atMillis) {
        double weight = (double) kind.share() * account.share();
        for (Surge surge : surges) {
            if (surge.isActive(atMillis) && surge.applies(kind, account)) {
                weight *= surge.percent() / PERCENT;
            }
        }
        return weight;
    }

    /** Returns the accounts, or one for all anonymous callers, not null. */
    List<Account> accountsOrAnonymous() {
        return accounts.isEmpty() ? List.of(ANONYMOUS) : accounts;
    }

    /** Returns true if requests differ in urgency or by account, so that admission needs the routes. */
    boolean hasCompetingCallers() {
        return !accounts.isEmpty()
                || kinds.stream().mapToInt(Kind::priority).distinct().count() > 1;
    }

    private double surgeFactor(double atMillis) {
        if (surges.stream().noneMatch(surge -> surge.isActive(atMillis))) {
            return 1;
        }
        return totalWeight(atMillis) / totalWeight(Double.NEGATIVE_INFINITY);
    }

    private double totalWeight(double atMillis) {
        return kinds.stream()
                .mapToDouble(kind -> accountsOrAnonymous().stream()
                        .mapToDouble(account -> weight(kind, account, atMillis))
                        .sum())
                .sum();
    }

    private double mean(java.util.function.ToIntFunction<Kind> size) {
        double shares = kinds.stream().mapToInt(Kind::share).sum();
        return kinds.stream()
                .mapToDouble(kind -> kind.share() * size.applyAsInt(kind) / shares)
                .sum();
    }
}
