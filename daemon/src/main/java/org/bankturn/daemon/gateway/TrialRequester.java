package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.bankturn.crash.TrialScheduler;
import org.bankturn.crash.TrialSubject;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.time.Clock;

/**
 * Requests trials of condemned requests or prompt parts from the control group, which limits them across all gateways.
 *
 * <p>TrialRequester is confined to its reactor's thread.
 *
 * @param <K> the type of what is condemned
 */
final class TrialRequester<K> {
    /** How long a request waits for its trial to be granted; a control group that works answers within 60 ms. */
    private static final long GRANT_TIMEOUT_MILLIS = 300;

    private final Eventloop reactor;
    private final DecisionLog log;
    private final DecisionField keyField;
    private final Function<K, ? extends Optional<? extends TrialSubject>> published;
    private final TrialProposal<K> controlGroup;
    private final TrialScheduler<K> plan;
    private final Map<K, PendingTrial> pending = new HashMap<>();

    /** Proposes a trial to the control group. */
    @FunctionalInterface
    interface TrialProposal<K> {
        /** Proposes the trial with a number, starting at 1, for a requester. */
        void propose(K key, int number, String requester);
    }

    /** A requested trial and the promise to complete with the decision. */
    private record PendingTrial(String requester, SettablePromise<Boolean> decision) {}

    /**
     * Returns a requester without pending trials, not null.
     *
     * @param reactor the event loop, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param keyField the field of the log that names what is tried, not null
     * @param published returns the published state of what the control group condemned, not null
     * @param controlGroup proposes trials, not null
     */
    static <K> TrialRequester<K> of(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            DecisionField keyField,
            Function<K, ? extends Optional<? extends TrialSubject>> published,
            TrialProposal<K> controlGroup) {
        return new TrialRequester<>(reactor, clock, log, keyField, published, controlGroup);
    }

    private TrialRequester(
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            DecisionField keyField,
            Function<K, ? extends Optional<? extends TrialSubject>> published,
            TrialProposal<K> controlGroup) {
        this.reactor = reactor;
        this.log = log;
        this.keyField = keyField;
        this.published = published;
        this.controlGroup = controlGroup;
        this.plan = TrialScheduler.of(clock);
    }

    /**
     * Requests a trial, if one is due and none is pending here.
     *
     * @param key what is condemned, not null
     * @param requester a name that identifies this trial across gateways, not null
     * @return a promise of true if the request may be sent, false if it must be refused, not null
     */
    Promise<Boolean> requestTrial(K key, String requester) {
        Optional<? extends TrialSubject> agreed = published.apply(key);
        if (pending.containsKey(key) || !plan.isDue(key, agreed)) {
            return Promise.of(false);
        }
        int number = agreed.orElseThrow().trials() + 1;
        SettablePromise<Boolean> granted = new SettablePromise<>();
        pending.put(key, new PendingTrial(requester, granted));
        controlGroup.propose(key, number, requester);
        reactor.delayBackground(GRANT_TIMEOUT_MILLIS, () -> complete(key, requester, false));
        return granted;
    }

    /** Updates what is condemned and completes the trials that were granted. */
    void update(Collection<K> condemned) {
        plan.update(condemned, published);
        for (K key : List.copyOf(pending.keySet())) {
            String requester = pending.get(key).requester();
            Optional<? extends TrialSubject> subject = published.apply(key);
            if (subject.isPresent() && requester.equals(subject.get().trialBy())) {
                complete(key, requester, true);
            }
        }
    }

    private void complete(K key, String requester, boolean granted) {
        PendingTrial trial = pending.get(key);
        if (trial == null || !trial.requester().equals(requester)) {
            return;
        }
        pending.remove(key);
        log.line(DecisionKind.SUSPECT)
                .with(DecisionField.EVENT, granted ? "tried once more" : "no trial granted")
                .with(keyField, key)
                .write();
        trial.decision().set(granted);
    }
}
