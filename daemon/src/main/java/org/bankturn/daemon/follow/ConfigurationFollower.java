package org.bankturn.daemon.follow;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.ConfigurationUpdate;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.membership.ProcessReport;

/**
 * Keeps a process's configuration up with its sources: long polls that carry steps, not whole files.
 *
 * <p>On start it asks every source at once and waits until each has answered or failed, so that a process that has
 * forgotten everything begins with the newest configuration that any of its sources has. Afterwards it polls two
 * sources at a time, so that one that is cut off itself does not hold it back.
 *
 * <p>ConfigurationFollower is confined to its reactor's thread.
 */
public final class ConfigurationFollower {
    private static final Logger LOG = System.getLogger(ConfigurationFollower.class.getName());
    private static final long WAIT_MILLIS = 2_000;
    private static final long TIMEOUT_MILLIS = 4_000;
    private static final long FIRST_TIMEOUT_MILLIS = 2_000;
    private static final long PAUSE_AFTER_FAILURE_MILLIS = 300;
    private static final int POLLS_AT_ONCE = 2;
    private static final int POLLS_BEFORE_TURN = 8;

    private final NodeClients clients;
    private final List<Address> sources;
    private final ConfigurationHolder holder;
    private final Supplier<List<ProcessReport>> reports;
    private boolean stopped;

    /**
     * Creates a follower.
     *
     * @param clients connections to other processes, not null
     * @param sources node addresses to follow, not null
     * @param holder takes the configuration, not null
     * @param reports the reports to pass up with each poll, not null
     * @return the follower, not started, not null
     */
    public static ConfigurationFollower of(
            NodeClients clients,
            List<Address> sources,
            ConfigurationHolder holder,
            Supplier<List<ProcessReport>> reports) {
        return new ConfigurationFollower(clients, sources, holder, reports);
    }

    private ConfigurationFollower(
            NodeClients clients,
            List<Address> sources,
            ConfigurationHolder holder,
            Supplier<List<ProcessReport>> reports) {
        this.clients = clients;
        this.sources = List.copyOf(sources);
        this.holder = holder;
        this.reports = reports;
    }

    /**
     * Asks every source once, again and again until at least one answers, then begins to follow.
     *
     * @return completes when the newest configuration of all that answered is in force
     */
    public Promise<Void> start() {
        if (sources.isEmpty()) {
            return Promise.complete();
        }
        return askIndexes().then(indexes -> {
            Optional<SourceIndex> newest = indexes.stream().max(Comparator.comparingLong(SourceIndex::index));
            if (newest.isEmpty()) {
                return Promises.delay(PAUSE_AFTER_FAILURE_MILLIS).then(this::start);
            }
            return learnFrom(newest.get())
                    .then(
                            learned -> beginPolls(),
                            failure ->
                                    Promises.delay(PAUSE_AFTER_FAILURE_MILLIS).then(this::start));
        });
    }

    /** Stops following. */
    public void stop() {
        stopped = true;
    }

    /** Polls each source without waiting, to pass reports up at once, such as that this process is leaving. */
    public Promise<Void> reportNow() {
        return askIndexes().toVoid();
    }

    /** A source that answered, and the index that it has. */
    private record SourceIndex(Address source, long index) {}

    /** Asks every source for its index alone, so that a start costs one whole configuration however many there are. */
    private Promise<List<SourceIndex>> askIndexes() {
        List<Promise<Optional<SourceIndex>>> answers = new ArrayList<>();
        for (Address source : sources) {
            NodeRequest request = new NodeRequest.FetchConfiguration(Long.MAX_VALUE, 0, reports.get());
            answers.add(clients.ask(source, request, FIRST_TIMEOUT_MILLIS)
                    .map(
                            reply -> reply instanceof NodeReply.FetchedConfiguration fetched
                                    ? Optional.of(new SourceIndex(source, fetched.index()))
                                    : Optional.empty(),
                            failure -> Optional.empty()));
        }
        return Promises.toList(answers)
                .map(all -> all.stream().flatMap(Optional::stream).toList());
    }

    private Promise<Void> learnFrom(SourceIndex newest) {
        return newest.index() <= holder.get().index()
                ? Promise.complete()
                : poll(newest.source(), 0, TIMEOUT_MILLIS).toVoid();
    }

    private Promise<Void> beginPolls() {
        int polls = Math.min(POLLS_AT_ONCE, sources.size());
        for (int first = 0; first < polls; first++) {
            keepPolling(first, 1);
        }
        return Promise.complete();
    }

    private void keepPolling(int position, int polled) {
        if (stopped) {
            return;
        }
        poll(sources.get(position % sources.size()), WAIT_MILLIS, TIMEOUT_MILLIS)
                .whenComplete((index, failure) -> {
                    boolean turn = failure != null || polled >= POLLS_BEFORE_TURN;
                    int next = turn ? position + POLLS_AT_ONCE : position;
                    long pause = failure != null ? PAUSE_AFTER_FAILURE_MILLIS : 0;
                    Promises.delay(pause).whenResult(() -> keepPolling(next, turn ? 1 : polled + 1));
                });
    }

    private Promise<Long> poll(Address source, long waitMillis, long timeoutMillis) {
        Configuration held = holder.get();
        NodeRequest request = new NodeRequest.FetchConfiguration(held.index(), waitMillis, reports.get());
        return clients.ask(source, request, timeoutMillis).then(reply -> {
            if (!(reply instanceof NodeReply.FetchedConfiguration fetched)) {
                return Promise.ofException(new IllegalStateException("no configuration from " + source));
            }
            if (fetched.update() == null) {
                return Promise.of(fetched.index());
            }
            return take(source, fetched.update(), timeoutMillis);
        });
    }

    private Promise<Long> take(Address source, ConfigurationUpdate update, long timeoutMillis) {
        Configuration held = holder.get();
        if (update.index() <= held.index()) {
            return Promise.of(held.index());
        }
        boolean fits = update.baseIndex() == 0 || update.baseIndex() == held.index();
        Optional<Configuration> next = fits ? update.applyTo(held) : Optional.empty();
        if (next.isPresent()) {
            holder.advanceTo(next.get());
            return Promise.of(update.index());
        }
        if (update.baseIndex() == 0) {
            LOG.log(
                    Level.WARNING,
                    "configuration " + update.index() + " from " + source + " does not match its digest");
            return Promise.ofException(new IllegalStateException("digest does not match"));
        }
        return fetchWhole(source, timeoutMillis);
    }

    private Promise<Long> fetchWhole(Address source, long timeoutMillis) {
        NodeRequest request = new NodeRequest.FetchConfiguration(0, 0, List.of());
        return clients.ask(source, request, timeoutMillis)
                .then(reply -> reply instanceof NodeReply.FetchedConfiguration fetched
                                && fetched.update() != null
                                && fetched.update().baseIndex() == 0
                        ? take(source, fetched.update(), timeoutMillis)
                        : Promise.of(holder.get().index()));
    }
}
