package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.net.ConnectException;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;
import org.bankturn.crash.EndedTarget;
import org.bankturn.crash.InterruptedRequests;
import org.bankturn.crash.KnownSuspects;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.http.TargetConnection;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.Clock;

/**
 * Finds out which targets ended under which requests, and tells the control group, so that a request that ends its targets
 * is stopped at every gateway.
 *
 * <p>A target at which something broke off is connected to once more: an address that refuses connections is that of a
 * process that ended. What ran whole is told as well. CrashWatch is confined to its reactor's thread.
 */
final class CrashWatch {
    /** A process that ends may close its port a moment after its connections, so it is looked at again then. */
    private static final long LOOK_AGAIN_MILLIS = 150;

    /** A request that broke off waits that long at most for word of its target; a way between regions takes 6 ms. */
    private static final long CONNECT_MILLIS = 100;

    /** What is seen within that time is told the control group together; the requests of a target break off within 8 ms. */
    private static final long TELL_MILLIS = 10;

    private final String process;
    private final Eventloop reactor;
    private final Clock clock;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final TargetConnections connections;
    private final Consumer<PublicationCommand> controlGroup;
    private final Runnable whenCondemned;
    private final InterruptedRequests interruptedRequests;
    private final Trials trials;
    private final KnownSuspects suspects = KnownSuspects.empty();
    private final Set<RequestFingerprint> condemned = new HashSet<>();
    private final Map<String, Promise<Void>> looking = new HashMap<>();
    private final Map<String, Set<RequestFingerprint>> untoldEnds = new LinkedHashMap<>();
    private final Set<RequestFingerprint> untoldWhole = new LinkedHashSet<>();
    private List<Suspect> lastPublished = List.of();
    private boolean telling;

    /**
     * Returns a watch that has seen nothing, not null.
     *
     * @param process the name of this gateway, not null
     * @param reactor its reactor, not null
     * @param clock the time, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     * @param connections takes connections that were made to look at a target, not null
     * @param controlGroup takes what all gateways must know, not null
     * @param whenCondemned is run when a request may have been condemned that was not before, not null
     */
    static CrashWatch of(
            String process,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            TargetConnections connections,
            Consumer<PublicationCommand> controlGroup,
            Runnable whenCondemned) {
        return new CrashWatch(process, reactor, clock, log, metrics, connections, controlGroup, whenCondemned);
    }

    private CrashWatch(
            String process,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics,
            TargetConnections connections,
            Consumer<PublicationCommand> controlGroup,
            Runnable whenCondemned) {
        this.process = process;
        this.reactor = reactor;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.connections = connections;
        this.controlGroup = controlGroup;
        this.whenCondemned = whenCondemned;
        this.interruptedRequests = InterruptedRequests.of(clock);
        this.trials = Trials.of(reactor, clock, log, controlGroup, suspects);
    }

    // ---- queries

    /** Returns true if the request must be sent to no target any more. */
    boolean isCondemned(ForwardedRequest request) {
        return !condemned.isEmpty() && !request.isTrial() && condemned.contains(request.fingerprint());
    }

    /** Returns how many targets are known to have ended under the request. */
    int endsUnder(ForwardedRequest request) {
        return suspects.endedTargetsOf(request.fingerprint()).size();
    }

    /**
     * Takes a trial of a condemned request, if one is due.
     *
     * @return gives true if it may be sent once more, false if it is to be refused, not null
     */
    Promise<Boolean> takeTrial(ForwardedRequest request) {
        return trials.take(
                request.fingerprint(), process + "/" + request.terms().id());
    }

    // ---- what happens

    /** Takes in what is published. */
    void update(List<Suspect> published, Collection<TargetSighting> targets) {
        interruptedRequests.findReplaced(targets).forEach(this::ended);
        // 1,024 suspects cost 0.7 ms each time (fastest of 200, C1 compiler), and most publications are of targets
        if (!Objects.equals(published, lastPublished)) {
            lastPublished = published;
            suspects.published(published);
            lookForCondemned();
        }
    }

    private void lookForCondemned() {
        Set<RequestFingerprint> newly = suspects.condemned();
        metrics.condemned(newly.size());
        Set<RequestFingerprint> before = Set.copyOf(condemned);
        condemned.clear();
        condemned.addAll(newly);
        trials.update(condemned);
        newly.removeAll(before);
        for (RequestFingerprint request : newly) {
            log.line(DecisionKind.SUSPECT)
                    .with(DecisionField.EVENT, "sent to no target any more")
                    .with(DecisionField.FINGERPRINT, request)
                    .with(DecisionField.ENDS, suspects.endedTargetsOf(request).size())
                    .write();
        }
        if (!newly.isEmpty()) {
            whenCondemned.run();
        }
    }

    /**
     * A request broke off at a target.
     *
     * @return completes once it is known whether the target ended, or will not be known soon, not null
     */
    Promise<Void> brokeOff(TargetSighting target, ForwardedRequest request) {
        if (target.draining()) {
            // what it cuts at its planned end is not held against a request
            return Promise.complete();
        }
        interruptedRequests.recordInterruption(target, request.fingerprint());
        if (interruptedRequests.hasCrashed(target.id())) {
            ended(target.id());
            return Promise.complete();
        }
        return lookOnce(target).then(() -> untilCertainEnough(request));
    }

    private Promise<Void> lookOnce(TargetSighting target) {
        Promise<Void> begun = looking.get(target.id());
        if (begun != null) {
            return begun;
        }
        Promise<Void> look = look(target);
        if (!look.isComplete()) {
            looking.put(target.id(), look);
        }
        return look;
    }

    /** A request that one more end condemns goes on only once it is certain that there was none. */
    private Promise<Void> untilCertainEnough(ForwardedRequest request) {
        Set<String> possiblyEnded = suspects.endedTargetsOf(request.fingerprint());
        possiblyEnded.addAll(interruptedRequests.findUndecided(request.fingerprint()));
        boolean certain = isCondemned(request) || possiblyEnded.size() < Suspect.CONDEMNATION_THRESHOLD;
        return certain ? Promise.complete() : Promises.delay(LOOK_AGAIN_MILLIS + CONNECT_MILLIS);
    }

    /** Connects to a target to see whether its address still takes connections, and again a moment later if it does. */
    private Promise<Void> look(TargetSighting target) {
        return connect(target).then(failure -> {
            looking.remove(target.id());
            if (failure == null) {
                reactor.delayBackground(LOOK_AGAIN_MILLIS, () -> lookAgain(target));
            }
            return Promise.complete();
        });
    }

    private void lookAgain(TargetSighting target) {
        connect(target).whenResult(failure -> {
            if (failure == null) {
                interruptedRequests.markAlive(target.id());
            }
        });
    }

    /** Gives null if the target takes a connection, or why it does not. */
    private Promise<Exception> connect(TargetSighting target) {
        return TargetConnection.connect(
                        reactor, clock, Address.parse(target.address()).toSocketAddress(), CONNECT_MILLIS)
                .then((opened, failure) -> {
                    if (opened != null) {
                        connections.keep(target.id(), opened);
                    }
                    connected(target, failure);
                    return Promise.of(failure);
                });
    }

    /** A connection to a target was made, or could not be made. */
    void connected(TargetSighting target, Exception failure) {
        if (failure instanceof ConnectException) {
            ended(target.id());
        }
    }

    private void ended(String target) {
        List<RequestFingerprint> requests = interruptedRequests.recordCrash(target);
        for (RequestFingerprint request : requests) {
            suspects.recordCrash(target, request);
            metrics.suspected(ServingMetrics.SUSPECT_BLAMED);
            log.line(DecisionKind.SUSPECT)
                    .with(DecisionField.EVENT, "target ended")
                    .with(DecisionField.TARGET, target)
                    .with(DecisionField.FINGERPRINT, request)
                    .with(DecisionField.ENDS, suspects.endedTargetsOf(request).size())
                    .write();
        }
        if (!requests.isEmpty()) {
            untoldEnds.computeIfAbsent(target, key -> new LinkedHashSet<>()).addAll(requests);
            tellSoon();
            lookForCondemned();
        }
    }

    /** A request ran to its end. */
    void ranWhole(ForwardedRequest request) {
        if (suspects.isEmpty() && interruptedRequests.isEmpty()) {
            return;
        }
        RequestFingerprint fingerprint = request.fingerprint();
        interruptedRequests.recordCompletion(List.of(fingerprint));
        if (endsUnder(request) == 0) {
            return;
        }
        suspects.recordCompletion(fingerprint);
        lookForCondemned();
        metrics.suspected(ServingMetrics.SUSPECT_CLEARED);
        untoldWhole.add(fingerprint);
        tellSoon();
    }

    private void tellSoon() {
        if (!telling) {
            telling = true;
            reactor.delayBackground(TELL_MILLIS, this::tell);
        }
    }

    private void tell() {
        telling = false;
        List<EndedTarget> ends = untoldEnds.entrySet().stream()
                .map(each -> new EndedTarget(each.getKey(), List.copyOf(each.getValue())))
                .toList();
        controlGroup.accept(new PublicationCommand.RecordOutcomes(ends, List.copyOf(untoldWhole)));
        untoldEnds.clear();
        untoldWhole.clear();
    }
}
