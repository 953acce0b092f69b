package org.bankturn.daemon.publication;

import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.bankturn.codec.DeflateCodec;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.UnreadableDocumentException;
import org.bankturn.time.Clock;

/**
 * Follows the published state of the control group by long polling one control process at a time.
 *
 * <p>It prefers a control process in its own data hall, and switches to another one if the current one does not answer
 * or has no contact to a majority. The state never moves back to an older index. PublicationFollower is confined to its
 * reactor's thread.
 */
public final class PublicationFollower {
    /** The maximum time of a long poll at a control process; each reply confirms the current state. */
    private static final long WAIT_MILLIS = 500;

    /** The time beyond {@link #WAIT_MILLIS} after which a request fails and another control process is used. */
    private static final long REPLY_TIMEOUT_MILLIS = 500;

    /** The pause after all control processes have failed. */
    private static final long PAUSE_MILLIS = 100;

    /** The interval of attempts to return to a control process in the own data hall. */
    private static final long OWN_HALL_RETRY_MILLIS = 5_000;

    private final NioReactor reactor;
    private final NodeClients clients;
    private final Supplier<List<Address>> seeds;
    private final String dataHall;
    private final DocumentFormat format;
    private final Clock clock;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final PublicationListener listener;
    private final Map<Address, String> dataHalls = new HashMap<>();
    private final Set<Address> members = new LinkedHashSet<>();
    private final Set<Address> failed = new LinkedHashSet<>();
    private PublishedState published = PublishedState.EMPTY;
    private Address current;
    private long switchedMillis;
    private long freshMillis = Long.MIN_VALUE / 2;

    /** The send time of the request whose reply last confirmed the current state. */
    private long confirmedMillis = Long.MIN_VALUE / 2;

    private boolean stopped;

    /**
     * The dependencies of a follower.
     *
     * @param reactor the reactor, not null
     * @param clients connects to control processes, not null
     * @param seeds supplies the currently configured control boxes, not null
     * @param dataHall the own data hall, not null
     * @param format parses operators' documents, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    public record Wiring(
            NioReactor reactor,
            NodeClients clients,
            Supplier<List<Address>> seeds,
            String dataHall,
            DocumentFormat format,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {}

    /** Returns a follower that is not started yet and notifies a listener of each change, not null. */
    public static PublicationFollower of(Wiring wiring, PublicationListener listener) {
        return new PublicationFollower(wiring, listener);
    }

    private PublicationFollower(Wiring wiring, PublicationListener listener) {
        this.reactor = wiring.reactor();
        this.clients = wiring.clients();
        this.seeds = wiring.seeds();
        this.dataHall = wiring.dataHall();
        this.format = wiring.format();
        this.clock = wiring.clock();
        this.log = wiring.log();
        this.metrics = wiring.metrics();
        this.listener = listener;
    }

    /** Starts following. */
    public void start() {
        poll();
    }

    /** Stops following. */
    public void stop() {
        stopped = true;
    }

    /** Returns the latest known published state, not null. */
    public PublishedState published() {
        return published;
    }

    /** Returns the time of the last reply of a control process with contact to a majority. */
    public long freshMillis() {
        return freshMillis;
    }

    /** Returns the current control process, empty if none is known. */
    public Optional<Address> controlProcess() {
        return Optional.ofNullable(current);
    }

    private void poll() {
        if (stopped) {
            return;
        }
        if (current == null) {
            current = nextCandidate();
        }
        Address polled = current;
        if (polled == null) {
            pollLater();
            return;
        }
        long sentMillis = clock.millis();
        clients.ask(
                        polled,
                        new NodeRequest.WatchPublication(published.index(), WAIT_MILLIS),
                        WAIT_MILLIS + REPLY_TIMEOUT_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null && reply instanceof NodeReply.WatchedPublication watched) {
                        onReply(polled, watched, sentMillis);
                    } else {
                        onFailure(polled, failure == null ? "unexpected reply" : failure.toString());
                    }
                });
    }

    private void onReply(Address from, NodeReply.WatchedPublication watched, long sentMillis) {
        dataHalls.put(from, watched.dataHall());
        if (!watched.members().isEmpty()) {
            members.clear();
            watched.members().forEach(text -> members.add(Address.parse(text)));
        }
        boolean newer = watched.update() != null && watched.update().index() > published.index();
        PublishedState base = watched.fresh() ? published.confirm() : published;
        if (newer) {
            apply(base, watched.update(), from, watched.waited() ? sentMillis : confirmedMillis);
        } else if (base.confirmed() && !published.confirmed()) {
            publish(base, from, confirmedMillis);
        }
        if (!watched.fresh()) {
            onFailure(from, "no contact to a majority");
            return;
        }
        failed.clear();
        confirmedMillis = sentMillis;
        listener.confirmed(sentMillis);
        freshMillis = clock.millis();
        preferOwnHall();
        poll();
    }

    private void apply(PublishedState base, PublicationUpdate update, Address from, long changedSinceMillis) {
        ServingConfiguration configuration = base.configuration();
        if (update.document() != null
                && (configuration == null || update.documentVersion() > configuration.version())) {
            try {
                configuration = format.read(DeflateCodec.inflate(update.document()));
            } catch (UnreadableDocumentException e) {
                log.line(DecisionKind.PUBLISHED)
                        .with(DecisionField.OUTCOME, "unreadable")
                        .with(DecisionField.ERROR, e.getMessage())
                        .write();
                return;
            }
        }
        publish(base.after(update, configuration), from, changedSinceMillis);
    }

    private void publish(PublishedState newer, Address from, long changedSinceMillis) {
        published = newer;
        ServingConfiguration configuration = newer.configuration();
        long version = configuration == null ? 0 : configuration.version();
        log.line(DecisionKind.PUBLISHED)
                .with(DecisionField.INDEX, published.index())
                .with(DecisionField.VERSION, version)
                .with(DecisionField.TARGETS, published.targets().size())
                .with(DecisionField.CONFIRMED, published.confirmed())
                .with(DecisionField.FROM, from)
                .write();
        metrics.setPublication(published.index(), version, published.targets().size());
        listener.published(published, changedSinceMillis);
    }

    private void onFailure(Address controlProcess, String reason) {
        log.line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "control")
                .with(DecisionField.ADDRESS, controlProcess)
                .with(DecisionField.REASON, reason)
                .write();
        failed.add(controlProcess);
        current = null;
        Address candidate = nextCandidate();
        if (candidate == null) {
            failed.clear();
            pollLater();
        } else {
            current = candidate;
            switchedMillis = clock.millis();
            poll();
        }
    }

    private void pollLater() {
        reactor.delayBackground(PAUSE_MILLIS, this::poll);
    }

    private Address nextCandidate() {
        List<Address> candidates = new ArrayList<>(members);
        seeds.get().stream().filter(seed -> !members.contains(seed)).forEach(candidates::add);
        candidates.removeAll(failed);
        return candidates.stream()
                .min((one, other) -> Integer.compare(distance(one), distance(other)))
                .orElse(null);
    }

    private int distance(Address address) {
        String hall = dataHalls.get(address);
        if (hall == null) {
            return 1;
        }
        return hall.equals(dataHall) ? 0 : 2;
    }

    private void preferOwnHall() {
        boolean due = clock.millis() - switchedMillis > OWN_HALL_RETRY_MILLIS;
        boolean first = switchedMillis == 0;
        if (distance(current) == 0 || !(due || first)) {
            return;
        }
        Address nearer = nextCandidate();
        if (nearer != null && distance(nearer) < distance(current)) {
            current = nearer;
            switchedMillis = distance(nearer) == 0 ? clock.millis() : switchedMillis;
        } else {
            switchedMillis = clock.millis();
        }
    }
}
