package org.bankturn.replay;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.crash.CompletedPart;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedPart;
import org.bankturn.crash.InterruptedRequest;
import org.bankturn.crash.KnownSuspectParts;
import org.bankturn.crash.KnownSuspects;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.SuspectPart;
import org.bankturn.crash.TrialScheduler;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.Candidate;
import org.bankturn.routing.LoadPollSchedule;
import org.bankturn.routing.NextStep;
import org.bankturn.routing.PlacementSettings;
import org.bankturn.routing.RequestPolicy;
import org.bankturn.routing.RequestProgress;
import org.bankturn.routing.RetryAfter;
import org.bankturn.routing.RetryLimits;
import org.bankturn.routing.TargetTable;
import org.bankturn.routing.WatchPlan;
import org.bankturn.service.Account;

/**
 * A simulated gateway that uses the daemon's routing classes; its connections take virtual time only.
 *
 * <p>ReplayedGateway is mutable and not thread-safe.
 */
final class ReplayedGateway {
    private static final double CONNECTION_MILLIS = 2;
    private static final double POLL_TIMEOUT_MILLIS = 25;
    private static final long WATCH_PLAN_MILLIS = 1_000;
    private static final long MIN_POLL_PAUSE_MILLIS = 20;
    private static final double CRASH_REPORT_MILLIS = 10;
    private static final double MAX_COMPLETION_REPORT_MILLIS = 200;
    private static final int WEIGHTS_VERSION = 1;
    private static final RetryLimits RETRY_LIMITS = new RetryLimits(0.2, 254, 10_000);

    private final ReplaySimulation simulation;
    private final VirtualClock time;
    private final String name;
    private final String dataHall;
    private final TargetTable targets;
    private final RequestPolicy policy;
    private final WatchPlan plan;
    private final LoadPollSchedule pollSchedule;
    private final KnownSuspects suspects = KnownSuspects.empty();
    private final KnownSuspectParts suspectParts;
    private final TrialScheduler<String> trials;
    private final UniformRandomProvider random;
    private final Map<String, List<InterruptedRequest>> unreportedCrashes = new LinkedHashMap<>();
    private long publishedIndex;
    private boolean completionReportScheduled;
    private List<TargetSighting> sightings = List.of();
    private int maxInFlight;

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
        this.random = random;
        this.suspectParts = KnownSuspectParts.empty(time);
        this.trials = TrialScheduler.of(time);
        this.targets = TargetTable.of(time, dataHall, settings, random);
        this.policy = RequestPolicy.of(time, targets, RETRY_LIMITS, random);
        this.plan = WatchPlan.of(settings, name, dataHall);
        this.pollSchedule = LoadPollSchedule.of(settings);
    }

    String name() {
        return name;
    }

    String dataHall() {
        return dataHall;
    }

    void start() {
        refreshWatchPlan();
        schedulePolls();
    }

    void published(List<TargetSighting> newer) {
        sightings = newer;
        targets.update(newer);
        policy.update(simulation.configuration(), OptionalInt.of(simulation.gatewayCount()));
        watch();
    }

    void suspects(long index, List<Suspect> published, List<SuspectPart> publishedParts) {
        publishedIndex = index;
        suspects.published(published);
        suspectParts.published(publishedParts);
        trials.update(suspectParts.condemned(), suspectParts::findPublished);
        scheduleCompletionReport();
    }

    private boolean isCondemned(ReplayedCall call) {
        return suspects.isCondemned(call.fingerprint()) || !condemnedParts(call).isEmpty();
    }

    private List<String> condemnedParts(ReplayedCall call) {
        return call.promptParts().stream()
                .filter(suspectParts.condemned()::contains)
                .toList();
    }

    private void crashObserved(String incarnation, InterruptedRequest interrupted) {
        suspectParts.recordCrash(incarnation, InterruptedRequest.partsOf(List.of(interrupted)));
        if (unreportedCrashes.isEmpty()) {
            time.schedule(CRASH_REPORT_MILLIS, this::reportCrashes);
        }
        unreportedCrashes.computeIfAbsent(incarnation, key -> new ArrayList<>()).add(interrupted);
    }

    private void reportCrashes() {
        List<EndedTarget> ended = unreportedCrashes.entrySet().stream()
                .map(each -> new EndedTarget(each.getKey(), List.of(), InterruptedRequest.partsOf(each.getValue())))
                .toList();
        unreportedCrashes.clear();
        List<InterruptedPart> parts =
                ended.stream().flatMap(each -> each.parts().stream()).toList();
        simulation.partsObserved(ended, suspectParts.completionsOf(parts));
    }

    private void scheduleCompletionReport() {
        if (!completionReportScheduled && !suspectParts.unreportedCompletions().isEmpty()) {
            completionReportScheduled = true;
            time.schedule(random.nextDouble() * MAX_COMPLETION_REPORT_MILLIS, () -> {
                completionReportScheduled = false;
                List<CompletedPart> unreported = suspectParts.unreportedCompletions();
                if (!unreported.isEmpty()) {
                    simulation.partsObserved(List.of(), unreported);
                }
            });
        }
    }

    // ---- watching

    private void refreshWatchPlan() {
        watch();
        maxInFlight = targets.inFlightAtEngines();
        time.schedule(WATCH_PLAN_MILLIS, this::refreshWatchPlan);
    }

    private void watch() {
        List<WatchPlan.Engine> engines = sightings.stream()
                .map(each -> new WatchPlan.Engine(each.id(), each.dataHall(), each.slots()))
                .toList();
        Set<String> watched = plan.watched(engines, simulation.gatewaysIn(dataHall), maxInFlight);
        Set<String> near = new HashSet<>();
        Set<String> far = new HashSet<>();
        for (TargetSighting each : sightings) {
            if (watched.contains(each.id())) {
                (each.dataHall().equals(dataHall) ? near : far).add(each.id());
            }
        }
        targets.setWatched(watched);
        pollSchedule.setWatched(near, far, time.millis());
    }

    private void schedulePolls() {
        double pause = (double) Math.max(MIN_POLL_PAUSE_MILLIS, pollSchedule.nextPollDelayMillis(time.millis()));
        time.schedule(pause, () -> {
            pollDueEngines();
            schedulePolls();
        });
    }

    private void pollDueEngines() {
        pollSchedule.next(time.millis()).ifPresent(id -> {
            pollLoad(simulation.engine(id));
            pollDueEngines();
        });
    }

    private void pollLoad(ReplayedEngine engine) {
        pollLoad(engine, () -> {});
    }

    private void pollLoad(ReplayedEngine engine, Runnable then) {
        simulation.statistics().loadPolled();
        if (engine.isUnresponsive() || engine.isDown()) {
            time.schedule(POLL_TIMEOUT_MILLIS, then);
            return;
        }
        double latency = simulation.latencyMillis(dataHall, engine.dataHall());
        ReplaySimulation.LoadSample sample = simulation.loadSample(engine);
        time.schedule(2 * latency, () -> {
            long ageMillis = (long) (time.now() - latency - sample.atMillis());
            targets.loadReported(engine.id(), sample.load(), ageMillis, (long) (2 * latency));
            if (engine.millisUntilUpdate() > 0) {
                targets.interruptionAnnounced(engine.id(), (long) engine.millisUntilUpdate());
            }
            then.run();
        });
    }

    // ---- requests

    void handle(ReplayedCall call) {
        RequestProgress progress = RequestProgress.of(
                simulation.route(call.kind()),
                account(call.account()),
                simulation.service(),
                call.promptTokens(),
                (long) call.expiryMillis());
        if (!isCondemned(call)) {
            forward(call, progress);
        } else if (isTrialDue(call)) {
            requestTrial(call, progress);
        } else {
            rejectCondemned(call);
        }
    }

    private void forward(ReplayedCall call, RequestProgress progress) {
        policy.requestArrived(progress);
        ForwardedRequest forwarded = new ForwardedRequest(call, progress);
        time.schedule(call.expiryMillis() - time.now(), forwarded::deadlineReached);
        forwarded.sendToNext();
    }

    private void rejectCondemned(ReplayedCall call) {
        recordCondemned(call);
        call.rejected((double) RetryAfter.CONDEMNED_MILLIS);
    }

    private boolean isTrialDue(ReplayedCall call) {
        List<String> parts = condemnedParts(call);
        return parts.size() == 1
                && !suspects.isCondemned(call.fingerprint())
                && trials.isDue(parts.get(0), suspectParts.findPublished(parts.get(0)));
    }

    /** Forwards the call if the control group grants it the next trial of its condemned part. */
    private void requestTrial(ReplayedCall call, RequestProgress progress) {
        String part = condemnedParts(call).get(0);
        int number = suspectParts.findPublished(part).orElseThrow().trials() + 1;
        String requester = name + "/" + call.fingerprint();
        simulation.trialRequested(new PublicationCommand.TakePartTrial(part, number, requester), granted -> {
            if (granted) {
                forward(call, progress);
            } else {
                rejectCondemned(call);
            }
        });
    }

    private static Account account(LoadPattern.Account account) {
        return account.equals(LoadPattern.ANONYMOUS)
                ? null
                : new Account(account.name(), List.of(), account.priority());
    }

    private void recordCondemned(ReplayedCall call) {
        if (!call.crashesEngine()) {
            simulation.statistics().falselyCondemned();
        }
    }

    /** A request that is being forwarded. */
    private final class ForwardedRequest {
        private final ReplayedCall call;
        private final RequestProgress progress;
        private int forwardedTokens;
        private boolean finished;
        private Attempt attempt;

        ForwardedRequest(ReplayedCall call, RequestProgress progress) {
            this.call = call;
            this.progress = progress;
        }

        void sendToNext() {
            if (finished) {
                return;
            }
            NextStep step = policy.next(progress);
            if (step instanceof NextStep.PollLoad poll) {
                int[] pending = {poll.targets().size()};
                poll.targets()
                        .forEach(id -> pollLoad(simulation.engine(id), () -> {
                            if (--pending[0] == 0) {
                                sendToNext();
                            }
                        }));
            } else if (step instanceof NextStep.AwaitTarget wait) {
                time.schedule((double) wait.timeoutMillis(), this::sendToNext);
            } else if (step instanceof NextStep.Send send) {
                attempt = new Attempt(this, send.candidate());
                attempt.start();
            } else if (step instanceof NextStep.GiveUp giveUp) {
                end();
                if (progress.mayHaveRun()) {
                    call.failed();
                } else {
                    call.rejected((double) giveUp.retryAfterMillis());
                }
            }
        }

        void deadlineReached() {
            if (!finished) {
                end();
                call.failed();
            }
        }

        private void end() {
            finished = true;
            if (attempt != null) {
                attempt.cancel();
            }
        }
    }

    /** One attempt to serve a request on an engine. */
    private final class Attempt implements EngineTask.Listener {
        private final ForwardedRequest request;
        private final Candidate candidate;
        private final ReplayedEngine engine;
        private final EngineTask task;
        private final double latency;
        private final double startMillis = time.now();
        private double lastDataMillis = time.now();
        private final long knownIndex = publishedIndex;
        private boolean promptPending = true;
        private boolean finished;

        Attempt(ForwardedRequest request, Candidate candidate) {
            this.request = request;
            this.candidate = candidate;
            this.engine = simulation.engine(candidate.target().sighting().id());
            this.latency = simulation.latencyMillis(dataHall, engine.dataHall());
            this.task = EngineTask.of(
                    request.progress.priority(),
                    request.progress.promptTokens() + request.forwardedTokens,
                    request.call.answerTokens() - request.forwardedTokens,
                    request.call.crashesEngine(),
                    this);
        }

        void start() {
            candidate.target().requestStarted(request.progress.promptTokens(), time.millis());
            if (engine.isDown()) {
                time.schedule(2 * latency, this::connectionRefused);
                return;
            }
            request.progress.sent();
            pollSchedule.requestSent(time.millis());
            maxInFlight = Math.max(maxInFlight, targets.inFlightAtEngines());
            simulation.statistics().sent();
            time.schedule(latency + CONNECTION_MILLIS, this::submit);
            scheduleSilenceCheck();
        }

        private void submit() {
            if (finished || engine.isUnresponsive()) {
                return;
            }
            if (engine.isDown()) {
                interrupted();
                return;
            }
            if (request.call.crashesEngine()) {
                simulation.crashingRequestReached();
            }
            if (!engine.offer(task)) {
                simulation.statistics().rejected();
                time.schedule(latency, this::rejected);
            }
        }

        private void connectionRefused() {
            if (finished) {
                return;
            }
            finish();
            candidate.target().requestFailed(time.millis());
            request.progress.connectionFailed();
            request.sendToNext();
        }

        private void rejected() {
            if (finished) {
                return;
            }
            finish();
            candidate.target().markFull(time.millis());
            request.progress.notRun();
            request.sendToNext();
        }

        @Override
        public void tokensGenerated(int tokens) {
            time.schedule(latency, () -> eventReceived(tokens));
        }

        private void eventReceived(int tokens) {
            if (finished) {
                return;
            }
            double gapMillis = time.now() - lastDataMillis;
            lastDataMillis = time.now();
            candidate.target().dataReceived(time.millis(), 0);
            if (promptPending) {
                promptPending = false;
                candidate.target().promptRead(request.progress.promptTokens());
                long took = (long) (time.now() - startMillis);
                policy.correction(request.progress).observed(candidate.predictedMillis(), (double) took);
                candidate.target().firstEventReceived(candidate.predictedMillis(), took);
            } else {
                candidate.target().eventReceived(simulation.service().engine(), Math.round(gapMillis), time.millis());
            }
            request.forwardedTokens += tokens;
            request.progress.eventForwarded("e", time.millis());
            request.call.eventReceived();
        }

        @Override
        public void completed() {
            time.schedule(latency, () -> {
                if (!finished) {
                    finish();
                    request.finished = true;
                    recordCompletion(request.call);
                    request.call.answered();
                }
            });
        }

        private void recordCompletion(ReplayedCall call) {
            boolean changed = false;
            for (String part : call.promptParts()) {
                CompletedPart completed = new CompletedPart(part, WEIGHTS_VERSION, knownIndex);
                changed |= suspectParts.recordCompletion(completed, (long) startMillis);
            }
            if (changed) {
                scheduleCompletionReport();
            }
            RequestFingerprint fingerprint = call.fingerprint();
            if (!suspects.endedTargetsOf(fingerprint).isEmpty()) {
                suspects.recordCompletion(fingerprint);
                simulation.completionObserved(fingerprint);
            }
        }

        @Override
        public void interrupted() {
            String incarnation = engine.incarnation();
            boolean crashed = engine.isDown();
            // a crash takes another round trip, in which the gateway checks the engine
            time.schedule(crashed ? 3 * latency : latency, () -> {
                if (finished) {
                    return;
                }
                if (crashed) {
                    suspects.recordCrash(incarnation, request.call.fingerprint());
                    simulation.crashObserved(incarnation, request.call);
                    if (!request.call.promptParts().isEmpty()) {
                        crashObserved(incarnation, interruptedRequest());
                    }
                }
                if (isCondemned(request.call)) {
                    recordCondemned(request.call);
                    finish();
                    request.finished = true;
                    request.call.failed();
                } else {
                    retryElsewhere(request);
                }
            });
        }

        private InterruptedRequest interruptedRequest() {
            return new InterruptedRequest(
                    request.call.fingerprint(), request.call.promptParts(), WEIGHTS_VERSION, knownIndex);
        }

        private void retryElsewhere(ForwardedRequest lost) {
            if (finished) {
                return;
            }
            finish();
            candidate.target().requestFailed(time.millis());
            simulation.statistics().interrupted(lost.progress.promptTokens());
            lost.sendToNext();
        }

        private void scheduleSilenceCheck() {
            double left = lastDataMillis
                    + policy.silenceTimeoutMillis(request.progress, candidate, (long) lastDataMillis, !promptPending)
                    - time.now();
            time.schedule(Math.max(1, left), this::checkSilence);
        }

        private void checkSilence() {
            if (finished) {
                return;
            }
            boolean silent = time.now() - lastDataMillis
                    >= policy.silenceTimeoutMillis(request.progress, candidate, (long) lastDataMillis, !promptPending);
            if (!silent) {
                scheduleSilenceCheck();
                return;
            }
            if (policy.canRetryElsewhere(request.progress)) {
                task.cancel();
                retryElsewhere(request);
            }
        }

        void cancel() {
            if (!finished) {
                task.cancel();
                finish();
            }
        }

        private void finish() {
            finished = true;
            candidate.target().requestEnded((long) startMillis, time.millis());
            if (promptPending) {
                promptPending = false;
                candidate.target().promptRead(request.progress.promptTokens());
            }
        }
    }
}
