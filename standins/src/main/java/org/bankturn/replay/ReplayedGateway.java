package org.bankturn.replay;

import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.crash.KnownSuspects;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.LoadPollSchedule;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.RequestPolicy;
import org.bankturn.routing.RequestProgress;
import org.bankturn.routing.RetryAfter;
import org.bankturn.routing.RetryLimits;
import org.bankturn.routing.TargetTable;
import org.bankturn.routing.WatchPlan;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.WeightedService;

/**
 * A gateway that decides as the daemon's does, by the same parts, and whose connections take time but no processor.
 *
 * <p>ReplayedGateway is mutable and not thread-safe.
 */
final class ReplayedGateway {
    private static final double CONNECTION_MILLIS = 2;
    private static final double QUESTION_MILLIS = 25;
    private static final long PLAN_MILLIS = 1_000;
    private static final long LEAST_PAUSE_MILLIS = 20;
    private static final RetryLimits RETRIES = new RetryLimits(0.2, 254, 10_000);

    private final ReplaySimulation simulation;
    private final VirtualClock time;
    private final String name;
    private final String dataHall;
    private final TargetTable targets;
    private final RequestPolicy policy;
    private final WatchPlan plan;
    private final LoadPollSchedule questions;
    private final KnownSuspects suspects = KnownSuspects.empty();
    private List<TargetSighting> sightings = List.of();
    private int busiest;

    ReplayedGateway(
            ReplaySimulation simulation,
            String name,
            String dataHall,
            PlacementSettings settings,
            UniformRandomProvider random) {
        this.simulation = simulation;
        this.time = simulation.time();
        this.name = name;
        this.dataHall = dataHall;
        this.targets = TargetTable.of(time, dataHall, settings, random);
        this.policy = RequestPolicy.of(time, targets, RETRIES, random);
        this.plan = WatchPlan.of(settings, name, dataHall);
        this.questions = LoadPollSchedule.of(settings);
    }

    String name() {
        return name;
    }

    String dataHall() {
        return dataHall;
    }

    void start() {
        planAgain();
        askLater();
    }

    void published(List<TargetSighting> newer) {
        sightings = newer;
        targets.update(newer);
        policy.update(simulation.configuration(), OptionalInt.of(simulation.gatewayCount()));
        watch();
    }

    void suspects(List<Suspect> published) {
        suspects.published(published);
    }

    // ---- watching

    private void planAgain() {
        watch();
        busiest = targets.inFlightAtEngines();
        time.schedule(PLAN_MILLIS, this::planAgain);
    }

    private void watch() {
        List<WatchPlan.Engine> engines = sightings.stream()
                .map(each -> new WatchPlan.Engine(each.id(), each.dataHall(), each.slots()))
                .toList();
        Set<String> watched = plan.watched(engines, simulation.gatewaysIn(dataHall), busiest);
        Set<String> near = new HashSet<>();
        Set<String> far = new HashSet<>();
        for (TargetSighting each : sightings) {
            if (watched.contains(each.id())) {
                (each.dataHall().equals(dataHall) ? near : far).add(each.id());
            }
        }
        targets.setWatched(watched);
        questions.setWatched(near, far, time.millis());
    }

    private void askLater() {
        double pause = (double) Math.max(LEAST_PAUSE_MILLIS, questions.nextPollDelayMillis(time.millis()));
        time.schedule(pause, () -> {
            askAllDue();
            askLater();
        });
    }

    private void askAllDue() {
        questions.next(time.millis()).ifPresent(id -> {
            ask(simulation.engine(id));
            askAllDue();
        });
    }

    private void ask(ReplayedEngine engine) {
        ask(engine, () -> {});
    }

    private void ask(ReplayedEngine engine, Runnable then) {
        simulation.statistics().loadPolled();
        if (engine.isUnresponsive() || engine.isDown()) {
            time.schedule(QUESTION_MILLIS, then);
            return;
        }
        double way = simulation.latencyMillis(dataHall, engine.dataHall());
        ReplaySimulation.LoadSample sample = simulation.loadSample(engine);
        time.schedule(2 * way, () -> {
            long ageMillis = (long) (time.now() - way - sample.atMillis());
            targets.loadReported(engine.id(), sample.load(), ageMillis, (long) (2 * way));
            if (engine.millisUntilUpdate() > 0) {
                targets.interruptionAnnounced(engine.id(), (long) engine.millisUntilUpdate());
            }
            then.run();
        });
    }

    // ---- requests

    void handle(ReplayedCall call) {
        LoadPattern.Kind kind = call.kind();
        Route route = new Route(
                kind.name(),
                "h",
                "/",
                RequestKind.RESUMABLE_STREAM,
                kind.deadlineMillis(),
                kind.objectiveMillis(),
                kind.priority(),
                List.of(new WeightedService(ReplaySimulation.SERVICE, 1)),
                2,
                true);
        RequestProgress progress =
                RequestProgress.of(route, simulation.service(), call.promptTokens(), (long) call.expiryMillis());
        if (suspects.isCondemned(call.fingerprint())) {
            stopped(call);
            call.rejected((double) RetryAfter.CONDEMNED_MILLIS);
            return;
        }
        policy.requestArrived(progress);
        Forwarded forwarded = new Forwarded(call, progress);
        time.schedule(call.expiryMillis() - time.now(), forwarded::timeUp);
        forwarded.sendToNext();
    }

    private void stopped(ReplayedCall call) {
        if (!call.crashesEngine()) {
            simulation.statistics().falselyCondemned();
        }
    }

    /** One request on its way. */
    private final class Forwarded {
        private final ReplayedCall call;
        private final RequestProgress progress;
        private int tokensPassed;
        private boolean over;
        private Turn turn;

        Forwarded(ReplayedCall call, RequestProgress progress) {
            this.call = call;
            this.progress = progress;
        }

        void sendToNext() {
            if (over) {
                return;
            }
            NextStep step = policy.next(progress);
            if (step instanceof NextStep.PollLoad asking) {
                int[] open = {asking.targets().size()};
                asking.targets()
                        .forEach(id -> ask(simulation.engine(id), () -> {
                            if (--open[0] == 0) {
                                sendToNext();
                            }
                        }));
            } else if (step instanceof NextStep.Send send) {
                turn = new Turn(this, send.candidate());
                turn.begin();
            } else if (step instanceof NextStep.GiveUp giveUp) {
                end();
                if (progress.mayHaveRun()) {
                    call.failed();
                } else {
                    call.rejected((double) giveUp.retryAfterMillis());
                }
            }
        }

        void timeUp() {
            if (!over) {
                end();
                call.failed();
            }
        }

        private void end() {
            over = true;
            if (turn != null) {
                turn.cancel();
            }
        }
    }

    /** One engine's turn at a request. */
    private final class Turn implements EngineTask.Listener {
        private final Forwarded request;
        private final TargetTable.Candidate choice;
        private final ReplayedEngine engine;
        private final EngineTask task;
        private final double way;
        private final double beganMillis = time.now();
        private double heardMillis = time.now();
        private boolean promptPending = true;
        private boolean over;

        Turn(Forwarded request, TargetTable.Candidate choice) {
            this.request = request;
            this.choice = choice;
            this.engine = simulation.engine(choice.target().sighting().id());
            this.way = simulation.latencyMillis(dataHall, engine.dataHall());
            this.task = EngineTask.of(
                    request.progress.route().priority(),
                    request.progress.promptTokens() + request.tokensPassed,
                    request.call.answerTokens() - request.tokensPassed,
                    request.call.crashesEngine(),
                    this);
        }

        void begin() {
            choice.target().requestStarted(request.progress.promptTokens(), time.millis());
            if (engine.isDown()) {
                time.schedule(2 * way, this::refusedConnection);
                return;
            }
            request.progress.sent();
            questions.requestSent(time.millis());
            busiest = Math.max(busiest, targets.inFlightAtEngines());
            simulation.statistics().sent();
            time.schedule(way + CONNECTION_MILLIS, this::arrive);
            watchSilence();
        }

        private void arrive() {
            if (over || engine.isUnresponsive()) {
                return;
            }
            if (engine.isDown()) {
                interrupted();
                return;
            }
            if (!engine.offer(task)) {
                simulation.statistics().rejected();
                time.schedule(way, this::rejected);
            }
        }

        private void refusedConnection() {
            if (over) {
                return;
            }
            finish();
            choice.target().requestFailed(time.millis());
            request.progress.connectionFailed();
            request.sendToNext();
        }

        private void rejected() {
            if (over) {
                return;
            }
            finish();
            choice.target().markFull(time.millis());
            request.progress.notRun();
            request.sendToNext();
        }

        @Override
        public void tokensGenerated(int tokens) {
            time.schedule(way, () -> take(tokens));
        }

        private void take(int tokens) {
            if (over) {
                return;
            }
            heardMillis = time.now();
            choice.target().dataReceived(time.millis(), 0);
            if (promptPending) {
                promptPending = false;
                choice.target().promptRead(request.progress.promptTokens());
                long took = (long) (time.now() - beganMillis);
                policy.correction(request.progress.service()).observed(choice.predictedMillis(), (double) took);
                choice.target().firstEventReceived(choice.predictedMillis(), took);
            }
            request.tokensPassed += tokens;
            request.progress.eventForwarded("e");
            request.call.eventReceived();
        }

        @Override
        public void completed() {
            time.schedule(way, () -> {
                if (!over) {
                    finish();
                    request.over = true;
                    noteWhole(request.call.fingerprint());
                    request.call.answered();
                }
            });
        }

        private void noteWhole(RequestFingerprint whole) {
            if (!suspects.endedTargetsOf(whole).isEmpty()) {
                suspects.recordCompletion(whole);
                simulation.completionObserved(whole);
            }
        }

        @Override
        public void interrupted() {
            String incarnation = engine.incarnation();
            boolean ended = engine.isDown();
            // the gateway looks at the engine once more before the request goes on
            time.schedule(ended ? 3 * way : way, () -> {
                if (over) {
                    return;
                }
                if (ended) {
                    suspects.recordCrash(incarnation, request.call.fingerprint());
                    simulation.crashObserved(incarnation, request.call.fingerprint());
                }
                if (suspects.isCondemned(request.call.fingerprint())) {
                    stopped(request.call);
                    finish();
                    request.over = true;
                    request.call.failed();
                } else {
                    lost(request);
                }
            });
        }

        private void lost(Forwarded lost) {
            if (over) {
                return;
            }
            finish();
            choice.target().requestFailed(time.millis());
            simulation.statistics().interrupted(lost.progress.promptTokens());
            lost.progress.outcomeUnknown();
            lost.sendToNext();
        }

        private void watchSilence() {
            double left = heardMillis
                    + policy.silenceTimeoutMillis(request.progress, choice, (long) heardMillis)
                    - time.now();
            time.schedule(Math.max(1, left), this::checkSilence);
        }

        private void checkSilence() {
            if (over) {
                return;
            }
            boolean silent = time.now() - heardMillis
                    >= policy.silenceTimeoutMillis(request.progress, choice, (long) heardMillis);
            if (!silent) {
                watchSilence();
                return;
            }
            if (policy.canRetryElsewhere(request.progress)) {
                task.cancel();
                lost(request);
            }
        }

        void cancel() {
            if (!over) {
                task.cancel();
                finish();
            }
        }

        private void finish() {
            over = true;
            choice.target().requestEnded((long) beganMillis, time.millis());
            if (promptPending) {
                promptPending = false;
                choice.target().promptRead(request.progress.promptTokens());
            }
        }
    }
}
