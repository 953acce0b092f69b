package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.bankturn.crash.KnownSuspects;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.crash.TrialScheduler;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.time.Clock;

/**
 * Requests trials of condemned requests from the control group, which limits them across all gateways.
 *
 * <p>TrialRequester is confined to its reactor's thread.
 */
final class TrialRequester {
    /** How long a request waits for its trial to be granted; a control group that works answers within 60 ms. */
    private static final long GRANT_TIMEOUT_MILLIS = 300;

    private final Eventloop reactor;
    private final DecisionLog log;
    private final Consumer<PublicationCommand> controlGroup;
    private final KnownSuspects suspects;
    private final TrialScheduler plan;
    private final Map<RequestFingerprint, PendingTrial> pending = new HashMap<>();

    /** A requested trial and the promise to complete with the decision. */
    private record PendingTrial(String requester, SettablePromise<Boolean> decision) {}

    /**
     * Returns a requester without pending trials, not null.
     *
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param controlGroup receives commands for the control group, not null
     * @param suspects the known suspects, not null
     */
    static TrialRequester of(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            Consumer<PublicationCommand> controlGroup,
            KnownSuspects suspects) {
        return new TrialRequester(reactor, clock, log, controlGroup, suspects);
    }

    private TrialRequester(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            Consumer<PublicationCommand> controlGroup,
            KnownSuspects suspects) {
        this.reactor = reactor;
        this.log = log;
        this.controlGroup = controlGroup;
        this.suspects = suspects;
        this.plan = TrialScheduler.of(clock);
    }

    /**
     * Requests a trial of a condemned request, if one is due and none is pending here.
     *
     * @param request the fingerprint of the request, not null
     * @param requester a name that identifies this trial across gateways, not null
     * @return a promise of true if the request may be sent, false if it must be refused, not null
     */
    Promise<Boolean> requestTrial(RequestFingerprint request, String requester) {
        Optional<Suspect> agreed = suspects.findPublished(request);
        if (pending.containsKey(request) || !plan.isDue(agreed)) {
            return Promise.of(false);
        }
        int number = agreed.orElseThrow().trials() + 1;
        SettablePromise<Boolean> granted = new SettablePromise<>();
        pending.put(request, new PendingTrial(requester, granted));
        controlGroup.accept(new PublicationCommand.TakeTrial(request, number, requester));
        reactor.delayBackground(GRANT_TIMEOUT_MILLIS, () -> complete(request, requester, false));
        return granted;
    }

    /** Updates the condemned requests and completes the trials that were granted. */
    void update(Collection<RequestFingerprint> condemned) {
        plan.update(condemned, suspects);
        for (RequestFingerprint request : List.copyOf(pending.keySet())) {
            String requester = pending.get(request).requester();
            boolean granted = suspects.findPublished(request)
                    .map(suspect -> requester.equals(suspect.trialBy()))
                    .orElse(false);
            if (granted) {
                complete(request, requester, true);
            }
        }
    }

    private void complete(RequestFingerprint request, String requester, boolean granted) {
        PendingTrial trial = pending.get(request);
        if (trial == null || !trial.requester().equals(requester)) {
            return;
        }
        pending.remove(request);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, granted ? "tried once more" : "no trial granted")
                .with(DecisionField.FINGERPRINT, request)
                .write();
        trial.decision().set(granted);
    }
}
