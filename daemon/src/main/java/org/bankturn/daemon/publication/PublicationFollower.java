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
import org.bankturn.codec.Deflated;
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
 * Keeps up with what the control group publishes, by asking one control process at a time and waiting there for news.
 *
 * <p>It prefers one in its own data hall, and moves on from one that does not answer or is not in touch with a majority.
 * What it shows never goes back. PublicationFollower is confined to its reactor's thread.
 */
public final class PublicationFollower {
    /** How long a question waits at a control process for news; each answer confirms what is shown. */
    private static final long WAIT_MILLIS = 500;

    /** How much later than that the answer may be; another control process is asked then. */
    private static final long ANSWER_MILLIS = 500;

    /** The pause after all control processes were asked in vain. */
    private static final long PAUSE_MILLIS = 100;

    /** How long one in another hall is kept before the own hall's is tried again. */
    private static final long PREFER_OWN_HALL_MILLIS = 5_000;

    private final NioReactor reactor;
    private final NodeClients clients;
    private final Supplier<List<Address>> seeds;
    private final String dataHall;
    private final DocumentFormat format;
    private final Clock clock;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final PublicationListener listener;
    private final Map<Address, String> hallOf = new HashMap<>();
    private final Set<Address> members = new LinkedHashSet<>();
    private final Set<Address> tried = new LinkedHashSet<>();
    private PublishedState published = PublishedState.EMPTY;
    private Address current;
    private long movedMillis;
    private long freshMillis = Long.MIN_VALUE / 2;

    /** When the question was asked whose answer last confirmed what is shown. */
    private long confirmedMillis = Long.MIN_VALUE / 2;

    private boolean stopped;

    /**
     * What a follower needs.
     *
     * @param reactor its reactor, not null
     * @param clients asks other processes, not null
     * @param seeds the control boxes that settings name now, not null
     * @param dataHall the data hall it is in, not null
     * @param format reads operators' documents, not null
     * @param clock the time, not null
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

    /** Returns a follower that tells {@code listener} of each change; it does not run yet. */
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

    /** Starts to follow. */
    public void start() {
        ask();
    }

    /** Stops following. */
    public void stop() {
        stopped = true;
    }

    /** Returns what is published, as far as known, not null. */
    public PublishedState published() {
        return published;
    }

    /** Returns when a control process in touch with a majority last answered. */
    public long freshMillis() {
        return freshMillis;
    }

    /** Returns the control process that is asked now, empty if none is known. */
    public Optional<Address> controlProcess() {
        return Optional.ofNullable(current);
    }

    private void ask() {
        if (stopped) {
            return;
        }
        if (current == null) {
            current = next();
        }
        Address asked = current;
        if (asked == null) {
            askLater();
            return;
        }
        long askedMillis = clock.millis();
        clients.ask(
                        asked,
                        new NodeRequest.WatchPublication(published.index(), WAIT_MILLIS),
                        WAIT_MILLIS + ANSWER_MILLIS)
                .whenComplete((reply, failure) -> {
                    if (failure == null && reply instanceof NodeReply.Watched watched) {
                        took(asked, watched, askedMillis);
                    } else {
                        lost(asked, failure == null ? "no answer to the question" : failure.toString());
                    }
                });
    }

    private void took(Address from, NodeReply.Watched watched, long askedMillis) {
        hallOf.put(from, watched.dataHall());
        if (!watched.members().isEmpty()) {
            members.clear();
            watched.members().forEach(text -> members.add(Address.parse(text)));
        }
        boolean newer = watched.update() != null && watched.update().index() > published.index();
        PublishedState before = watched.fresh() ? published.confirm() : published;
        if (newer) {
            apply(before, watched.update(), from, watched.waited() ? askedMillis : confirmedMillis);
        } else if (before.confirmed() && !published.confirmed()) {
            show(before, from, confirmedMillis);
        }
        if (!watched.fresh()) {
            lost(from, "not in touch with a majority");
            return;
        }
        tried.clear();
        confirmedMillis = askedMillis;
        freshMillis = clock.millis();
        preferOwnHall();
        ask();
    }

    private void apply(PublishedState before, PublicationUpdate update, Address from, long changedSinceMillis) {
        ServingConfiguration configuration = before.configuration();
        if (update.document() != null
                && (configuration == null || update.documentVersion() > configuration.version())) {
            try {
                configuration = format.read(Deflated.inflate(update.document()));
            } catch (UnreadableDocumentException e) {
                log.line(DecisionKind.PUBLISHED)
                        .with(DecisionField.OUTCOME, "unreadable")
                        .with(DecisionField.ERROR, e.getMessage())
                        .write();
                return;
            }
        }
        show(before.after(update, configuration), from, changedSinceMillis);
    }

    private void show(PublishedState newer, Address from, long changedSinceMillis) {
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
        metrics.published(published.index(), version, published.targets().size());
        listener.published(published, changedSinceMillis);
    }

    private void lost(Address asked, String reason) {
        log.line(DecisionKind.LOST)
                .with(DecisionField.DEPENDENCY, "control")
                .with(DecisionField.ADDRESS, asked)
                .with(DecisionField.REASON, reason)
                .write();
        tried.add(asked);
        current = null;
        Address other = next();
        if (other == null) {
            tried.clear();
            askLater();
        } else {
            current = other;
            movedMillis = clock.millis();
            ask();
        }
    }

    private void askLater() {
        reactor.delayBackground(PAUSE_MILLIS, this::ask);
    }

    private Address next() {
        List<Address> candidates = new ArrayList<>(members);
        seeds.get().stream().filter(seed -> !members.contains(seed)).forEach(candidates::add);
        candidates.removeAll(tried);
        return candidates.stream()
                .min((one, other) -> Integer.compare(distance(one), distance(other)))
                .orElse(null);
    }

    private int distance(Address address) {
        String hall = hallOf.get(address);
        if (hall == null) {
            return 1;
        }
        return hall.equals(dataHall) ? 0 : 2;
    }

    private void preferOwnHall() {
        boolean due = clock.millis() - movedMillis > PREFER_OWN_HALL_MILLIS;
        boolean first = movedMillis == 0;
        if (distance(current) == 0 || !(due || first)) {
            return;
        }
        Address nearer = next();
        if (nearer != null && distance(nearer) < distance(current)) {
            current = nearer;
            movedMillis = distance(nearer) == 0 ? clock.millis() : movedMillis;
        } else {
            movedMillis = clock.millis();
        }
    }
}
