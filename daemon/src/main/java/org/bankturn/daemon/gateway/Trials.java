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
 * Takes trials of condemned requests from the control group, so that all gateways together send no more than are allowed.
 *
 * <p>Trials is confined to its reactor's thread.
 */
final class Trials {
    /** A control group that works answers within 60 ms; a request waits no longer than that for its trial. */
    private static final long ANSWER_MILLIS = 300;

    private final Eventloop reactor;
    private final DecisionLog log;
    private final Consumer<PublicationCommand> controlGroup;
    private final KnownSuspects suspects;
    private final TrialScheduler plan;
    private final Map<RequestFingerprint, Asked> asked = new HashMap<>();

    /** A trial that was asked for, and who waits for it. */
    private record Asked(String who, SettablePromise<Boolean> granted) {}

    /**
     * Returns one that has asked for no trial, not null.
     *
     * @param reactor its reactor, not null
     * @param clock the time, not null
     * @param log the decision log, not null
     * @param controlGroup takes what all gateways must know, not null
     * @param suspects what is held against requests, not null
     */
    static Trials of(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            Consumer<PublicationCommand> controlGroup,
            KnownSuspects suspects) {
        return new Trials(reactor, clock, log, controlGroup, suspects);
    }

    private Trials(
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
     * Takes a trial of a condemned request, if one is due: for one request at one gateway, whatever comes to others.
     *
     * @param request the request, not null
     * @param who names this attempt among all, not null
     * @return gives true if it may be sent once more, false if it is to be refused, not null
     */
    Promise<Boolean> take(RequestFingerprint request, String who) {
        Optional<Suspect> agreed = suspects.findPublished(request);
        if (asked.containsKey(request) || !plan.isDue(agreed)) {
            return Promise.of(false);
        }
        int number = agreed.orElseThrow().trials() + 1;
        SettablePromise<Boolean> granted = new SettablePromise<>();
        asked.put(request, new Asked(who, granted));
        controlGroup.accept(new PublicationCommand.TakeTrial(request, number, who));
        reactor.delayBackground(ANSWER_MILLIS, () -> answer(request, who, false));
        return granted;
    }

    /** Takes in which requests are condemned, after what is held against requests has changed. */
    void update(Collection<RequestFingerprint> condemned) {
        plan.update(condemned, suspects);
        for (RequestFingerprint request : List.copyOf(asked.keySet())) {
            String who = asked.get(request).who();
            boolean granted = suspects.findPublished(request)
                    .map(suspect -> who.equals(suspect.trialBy()))
                    .orElse(false);
            if (granted) {
                answer(request, who, true);
            }
        }
    }

    private void answer(RequestFingerprint request, String who, boolean granted) {
        Asked waiting = asked.get(request);
        if (waiting == null || !waiting.who().equals(who)) {
            return;
        }
        asked.remove(request);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, granted ? "tried once more" : "no trial granted")
                .with(DecisionField.FINGERPRINT, request)
                .write();
        waiting.granted().set(granted);
    }
}
