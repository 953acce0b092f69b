package org.bankturn.replay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.apache.commons.math3.distribution.ExponentialDistribution;
import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.EngineLoad;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;

/**
 * A discrete-event simulation of the engines, gateways and callers of all data halls.
 *
 * <p>ReplaySimulation is mutable and not thread-safe.
 */
final class ReplaySimulation {
    static final String SERVICE = "chat";

    /** The fingerprint of the request that crashes engines. */
    static final RequestFingerprint CRASHING_REQUEST = new RequestFingerprint(-1, -1);

    /** The time until all gateways know of an agreed change. */
    private static final double AGREEMENT_MILLIS = 60;

    /** The sampling interval of engine load, unless engines are polled before placement. */
    private static final double SAMPLE_MILLIS = 100;

    /** The time until all gateways know of a joined engine. */
    private static final double PUBLICATION_MILLIS = 400;

    private static final String FIRST_HALL = "hall-0";
    private static final double LATENCY_IN_HALL_MILLIS = 0.1;

    /** The number of crashes after which, and a time for everyone to know, hardly any further may follow. */
    private static final int CRASHES_BEFORE_LIMIT = 5;

    private static final double CONTACT_MILLIS = 3_000;
    private static final double PERCENT = 100;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final LoadPattern pattern;
    private final PlacementSettings settings;
    private final VirtualClock time = new VirtualClock();
    private final ReplayStatistics statistics = new ReplayStatistics();
    private final UniformRandomProvider random;
    private final Service service;
    private final Map<String, Route> routes = new LinkedHashMap<>();
    private final Map<String, ReplayedEngine> engines = new HashMap<>();
    private final List<ReplayedEngine> present = new ArrayList<>();
    private final Map<String, LoadSample> samples = new HashMap<>();
    private final Map<String, List<ReplayedGateway>> gateways = new HashMap<>();
    private final PublicationState published = PublicationState.empty();
    private final PromptPartSource promptParts;
    private final Set<String> crashedIncarnations = new HashSet<>();
    private long commands;
    private long calls;
    private double shiftedShare;

    /** The time of the fifth crash by the crashing request or part, negative before. */
    private double fifthCrashMillis = -1;

    /**
     * A sample of the load of an engine.
     *
     * @param load the load, not null
     * @param atMillis the time of the sample
     */
    record LoadSample(EngineLoad load, double atMillis) {}

    ReplaySimulation(LoadPattern pattern, PlacementSettings settings, long seed) {
        this.pattern = pattern;
        this.settings = settings;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        this.promptParts = new PromptPartSource(pattern.sharedParts(), seed);
        this.service = new Service(SERVICE, "/", 100, pattern.engine().model(), null, null, null);
        pattern.kinds().forEach(kind -> routes.put(kind.name(), routeOf(kind)));
        for (int hall = 0; hall < pattern.halls(); hall++) {
            String dataHall = "hall-" + hall;
            for (int number = 0; number < pattern.enginesPerHall(); number++) {
                present.add(engine("engine-" + hall + "-" + number, dataHall));
            }
            List<ReplayedGateway> here = new ArrayList<>();
            for (int number = 0; number < pattern.gatewaysPerHall(); number++) {
                UniformRandomProvider own = RandomSource.XO_RO_SHI_RO_128_PP.create(random.nextLong());
                here.add(new ReplayedGateway(this, "gateway-" + hall + "-" + number, dataHall, settings, own));
            }
            gateways.put(dataHall, here);
        }
    }

    private ReplayedEngine engine(String id, String dataHall) {
        ReplayedEngine made = new ReplayedEngine(time, pattern, id, dataHall);
        engines.put(id, made);
        return made;
    }

    // ---- queries

    VirtualClock time() {
        return time;
    }

    ReplayStatistics statistics() {
        return statistics;
    }

    Service service() {
        return service;
    }

    ServingConfiguration configuration() {
        // patterns of one urgency are compared with figures of replays without routes
        List<Route> known = pattern.hasCompetingCallers() ? List.copyOf(routes.values()) : List.of();
        return ServingConfiguration.of(1, known, List.of(service), ClientLimits.DEFAULT, List.of());
    }

    /** Returns the route of a kind of request, not null. */
    Route route(LoadPattern.Kind kind) {
        return routes.get(kind.name());
    }

    private static Route routeOf(LoadPattern.Kind kind) {
        return new Route(
                kind.name(),
                "h",
                "/" + kind.name() + "/",
                RequestKind.RESUMABLE_STREAM,
                kind.deadlineMillis(),
                kind.objectiveMillis(),
                kind.priority(),
                List.of(new WeightedService(SERVICE, 1)),
                2,
                true);
    }

    ReplayedEngine engine(String id) {
        return engines.get(id);
    }

    int gatewayCount() {
        return pattern.halls() * pattern.gatewaysPerHall();
    }

    Set<String> gatewaysIn(String dataHall) {
        Set<String> names = new HashSet<>();
        gateways.get(dataHall).forEach(gateway -> names.add(gateway.name()));
        return names;
    }

    ReplayedGateway randomGateway(String dataHall) {
        List<ReplayedGateway> here = gateways.get(dataHall);
        return here.get(random.nextInt(here.size()));
    }

    double latencyMillis(String from, String to) {
        return from.equals(to) ? LATENCY_IN_HALL_MILLIS : pattern.crossHallMillis();
    }

    /** Returns the load that a poll reports: the current load if polled before placement, else the last sample. */
    LoadSample loadSample(ReplayedEngine engine) {
        if (pattern.loadReportDelayMillis() > 0) {
            return new LoadSample(engine.loadBefore(pattern.loadReportDelayMillis()), time.now());
        }
        if (settings.polledBeforePlacement() > 0) {
            return new LoadSample(engine.load(), time.now());
        }
        return samples.getOrDefault(engine.id(), new LoadSample(engine.load(), time.now()));
    }

    boolean callersRetryFailures() {
        return pattern.callersRetryFailures();
    }

    // ---- changes agreed by the control group

    /** Records that a gateway saw an engine crash while it ran a request. */
    void crashObserved(String incarnation, ReplayedCall call) {
        if (call.crashesEngine()) {
            crashedIncarnations.add(incarnation);
            if (crashedIncarnations.size() == CRASHES_BEFORE_LIMIT && fifthCrashMillis < 0) {
                fifthCrashMillis = time.now();
            }
        }
        agree(new PublicationCommand.RecordOutcomes(
                List.of(new EndedTarget(incarnation, List.of(call.fingerprint()), List.of())), List.of(), List.of()));
    }

    /** Records what a gateway reports of prompt parts. */
    void partsObserved(List<EndedTarget> ended, List<CompletedPart> completed) {
        agree(new PublicationCommand.RecordOutcomes(ended, List.of(), completed));
    }

    /** Records that a gateway saw a suspect request complete. */
    void completionObserved(RequestFingerprint request) {
        agree(new PublicationCommand.RecordOutcomes(List.of(), List.of(request), List.of()));
    }

    /** Records that a request that crashes its engine reached one. */
    void crashingRequestReached() {
        if (fifthCrashMillis >= 0 && time.now() > fifthCrashMillis + CONTACT_MILLIS) {
            statistics.lateCrashingRequest();
        }
    }

    /** Asks for a trial of a condemned part; {@code decision} receives whether it is granted. */
    void trialRequested(PublicationCommand.TakePartTrial trial, Consumer<Boolean> decision) {
        time.schedule(AGREEMENT_MILLIS, () -> {
            boolean granted = commit(trial);
            decision.accept(granted);
        });
    }

    private void agree(PublicationCommand command) {
        time.schedule(AGREEMENT_MILLIS, () -> commit(command));
    }

    /** Applies and publishes a command; returns true if it changed anything. */
    private boolean commit(PublicationCommand command) {
        boolean changed = published.apply(++commands, command);
        List<Suspect> suspects = published.suspects();
        List<SuspectPart> parts = published.suspectParts().content();
        gateways.values()
                .forEach(here -> here.forEach(gateway -> gateway.suspects(published.index(), suspects, parts)));
        return changed;
    }

    // ---- the replay

    ReplayResult run() {
        gateways.values().forEach(here -> here.forEach(ReplayedGateway::start));
        publish();
        sample();
        pattern.events().forEach(event -> time.schedule((double) event.atMillis(), () -> applyEvent(event)));
        gateways.values().forEach(this::startCallers);
        time.runUntil(pattern.seconds() * MILLIS_PER_SECOND);
        double busy = present.stream().mapToDouble(ReplayedEngine::busyMillis).sum();
        statistics.engineCrashes(crashedIncarnations.size());
        return statistics.result(busy / (present.size() * pattern.seconds() * MILLIS_PER_SECOND));
    }

    private void publish() {
        List<TargetSighting> sightings = present.stream()
                .map(each -> new TargetSighting(
                        each.id(),
                        SERVICE,
                        each.id(),
                        each.dataHall(),
                        pattern.engine().model().slots(),
                        false,
                        1,
                        1))
                .toList();
        gateways.values().forEach(here -> here.forEach(gateway -> gateway.published(sightings)));
    }

    private void sample() {
        for (ReplayedEngine engine : present) {
            if (!engine.isUnresponsive()) {
                samples.put(engine.id(), new LoadSample(engine.load(), time.now()));
            }
        }
        time.schedule(SAMPLE_MILLIS, this::sample);
    }

    private void applyEvent(LoadPattern.Event event) {
        int count = (int) Math.round(present.size() * event.percent() / PERCENT);
        double pause = (double) event.overMillis() / Math.max(1, count);
        if (event.type() == ReplayEventType.JOIN) {
            for (int number = 0; number < count; number++) {
                String dataHall = "hall-" + number % pattern.halls();
                String id = "engine-" + event.atMillis() + "-" + number;
                time.schedule(number * pause, () -> join(id, dataHall));
            }
            return;
        }
        if (event.type() == ReplayEventType.SLOW_PERIODS) {
            present.forEach(engine -> scheduleSlowPeriod(engine, event));
            return;
        }
        if (event.type() == ReplayEventType.SHIFT) {
            shiftedShare = event.percent() / PERCENT;
            time.schedule((double) event.forMillis(), () -> shiftedShare = 0);
            return;
        }
        if (event.type() == ReplayEventType.DEADLY) {
            repeatCrashingRequest(event, time.now() + event.forMillis());
            return;
        }
        if (event.type() == ReplayEventType.DEADLY_FIRST_PART || event.type() == ReplayEventType.DEADLY_SECOND_PART) {
            sendCrashingPart(event, time.now() + event.forMillis());
            return;
        }
        List<ReplayedEngine> shuffled = new ArrayList<>(present);
        for (int number = 0; number < count; number++) {
            ReplayedEngine affected = shuffled.remove(random.nextInt(shuffled.size()));
            event.type().announce(affected, time.now() + number * pause);
            time.schedule(number * pause, () -> event.type().apply(affected, event, time));
        }
    }

    /** Slows an engine down after a random time whose mean yields the percentage of the event, repeatedly. */
    private void scheduleSlowPeriod(ReplayedEngine engine, LoadPattern.Event event) {
        double fastMillis = event.forMillis() * (PERCENT / event.percent() - 1);
        time.schedule(exponential(fastMillis), () -> {
            event.type().apply(engine, event, time);
            time.schedule((double) event.forMillis(), () -> scheduleSlowPeriod(engine, event));
        });
    }

    /** Sends the crashing request to a random gateway, and repeats it until the end of the event. */
    private void repeatCrashingRequest(LoadPattern.Event event, double untilMillis) {
        if (time.now() >= untilMillis) {
            return;
        }
        ReplayedGateway gateway = randomGateway("hall-" + random.nextInt(pattern.halls()));
        LoadPattern.Kind kind = pattern.kinds().get(0);
        gateway.handle(new ReplayedCall(
                this,
                kind,
                LoadPattern.ANONYMOUS,
                gateway.dataHall(),
                kind.promptTokens(),
                kind.answerTokens(),
                CRASHING_REQUEST,
                promptParts.draw(kind)));
        time.schedule((double) event.overMillis(), () -> repeatCrashingRequest(event, untilMillis));
    }

    /** Sends a new request with the crashing part to a random gateway, and others until the end of the event. */
    private void sendCrashingPart(LoadPattern.Event event, double untilMillis) {
        if (time.now() >= untilMillis) {
            return;
        }
        ReplayedGateway gateway = randomGateway("hall-" + random.nextInt(pattern.halls()));
        LoadPattern.Kind kind = pattern.kinds().get(0);
        boolean first = event.type() == ReplayEventType.DEADLY_FIRST_PART;
        gateway.handle(new ReplayedCall(
                this,
                kind,
                LoadPattern.ANONYMOUS,
                gateway.dataHall(),
                promptTokens(kind),
                answerTokens(kind),
                new RequestFingerprint(0, calls++),
                first ? promptParts.drawCrashingFirst(kind) : promptParts.drawCrashingSecond(kind)));
        time.schedule((double) event.overMillis(), () -> sendCrashingPart(event, untilMillis));
    }

    private void join(String id, String dataHall) {
        present.add(engine(id, dataHall));
        time.schedule(PUBLICATION_MILLIS, this::publish);
    }

    // ---- callers

    private void startCallers(List<ReplayedGateway> here) {
        for (int number = 0; number < pattern.callersPerHall(); number++) {
            ReplayedGateway own = here.get(random.nextInt(here.size()));
            scheduleNextCall(own);
        }
    }

    private void scheduleNextCall(ReplayedGateway own) {
        double callers = (double) pattern.halls() * pattern.callersPerHall();
        double perSecond = pattern.requestsPerSecond(time.now()) / callers;
        double pause = perSecond > 0 ? exponential(MILLIS_PER_SECOND / perSecond) : MILLIS_PER_SECOND;
        time.schedule(pause, () -> {
            if (perSecond > 0) {
                call(own);
            }
            scheduleNextCall(own);
        });
    }

    private void call(ReplayedGateway own) {
        if (pattern.accounts().isEmpty() && pattern.surges().isEmpty()) {
            call(own, drawKind(), LoadPattern.ANONYMOUS);
            return;
        }
        List<Runnable> choices = new ArrayList<>();
        List<Double> weights = new ArrayList<>();
        for (LoadPattern.Kind kind : pattern.kinds()) {
            for (LoadPattern.Account account : pattern.accountsOrAnonymous()) {
                choices.add(() -> call(own, kind, account));
                weights.add(pattern.weight(kind, account, time.now()));
            }
        }
        double draw = random.nextDouble()
                * weights.stream().mapToDouble(Double::doubleValue).sum();
        int index = 0;
        while (index < weights.size() - 1 && draw >= weights.get(index)) {
            draw -= weights.get(index);
            index++;
        }
        choices.get(index).run();
    }

    private LoadPattern.Kind drawKind() {
        int shares = pattern.kinds().stream().mapToInt(LoadPattern.Kind::share).sum();
        int draw = random.nextInt(shares);
        for (LoadPattern.Kind kind : pattern.kinds()) {
            draw -= kind.share();
            if (draw < 0) {
                return kind;
            }
        }
        throw new IllegalStateException("no kind of request has a share");
    }

    private void call(ReplayedGateway own, LoadPattern.Kind kind, LoadPattern.Account account) {
        statistics.requestCreated();
        ReplayedGateway gateway =
                shiftedShare > 0 && random.nextDouble() < shiftedShare ? randomGateway(FIRST_HALL) : own;
        RequestFingerprint fingerprint = new RequestFingerprint(0, calls++);
        gateway.handle(new ReplayedCall(
                this,
                kind,
                account,
                gateway.dataHall(),
                promptTokens(kind),
                answerTokens(kind),
                fingerprint,
                promptParts.draw(kind)));
    }

    private int promptTokens(LoadPattern.Kind kind) {
        double drawn = kind.promptSpread() > 0
                ? logNormal(kind.promptTokens(), kind.promptSpread())
                : exponential(kind.promptTokens());
        return (int) Math.max(1, Math.min(kind.maxPromptTokens(), drawn));
    }

    private int answerTokens(LoadPattern.Kind kind) {
        return (int) Math.max(1, Math.min(kind.maxAnswerTokens(), exponential(kind.answerTokens())));
    }

    /** Returns a log-normally distributed value with the given mean and coefficient of variation. */
    private double logNormal(double mean, double spread) {
        double variance = Math.log1p(spread * spread);
        double location = Math.log(mean) - variance / 2;
        return new LogNormalDistribution(null, location, Math.sqrt(variance))
                .inverseCumulativeProbability(random.nextDouble());
    }

    private double exponential(double mean) {
        return new ExponentialDistribution(null, mean).inverseCumulativeProbability(random.nextDouble());
    }
}
