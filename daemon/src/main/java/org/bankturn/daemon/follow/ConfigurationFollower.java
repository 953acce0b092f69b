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
 * Keeps the configuration of a process up to date by long polls of its sources, which reply with incremental updates.
 *
 * <p>On start it queries every source and waits until each has answered or failed, so that a process without stored state
 * starts with the newest configuration of any reachable source. Afterwards it polls two sources concurrently, so that a
 * source that is itself out of date does not delay updates.
 *
 * <p>ConfigurationFollower is confined to its reactor's thread.
 */
public final class ConfigurationFollower {
    private static final Logger LOG = System.getLogger(ConfigurationFollower.class.getName());
    private static final long LONG_POLL_MILLIS = 2_000;
    private static final long POLL_TIMEOUT_MILLIS = 4_000;
    private static final long INDEX_TIMEOUT_MILLIS = 2_000;
    private static final long RETRY_DELAY_MILLIS = 300;
    private static final int CONCURRENT_POLLS = 2;
    private static final int POLLS_PER_SOURCE = 8;

    private final NodeClients clients;
    private final List<Address> sources;
    private final ConfigurationHolder holder;
    private final Supplier<List<ProcessReport>> reports;
    private boolean stopped;

    /**
     * Creates a follower.
     *
     * @param clients connections to other processes, not null
     * @param sources the node addresses of the sources, not null
     * @param holder receives the configuration, not null
     * @param reports supplies the reports to send with each poll, not null
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
     * Queries all sources, repeatedly until at least one answers, then starts polling.
     *
     * @return completes when the newest configuration of the sources that answered is current
     */
    public Promise<Void> start() {
        if (sources.isEmpty()) {
            return Promise.complete();
        }
        return queryIndexes().then(indexes -> {
            Optional<SourceIndex> newest = indexes.stream().max(Comparator.comparingLong(SourceIndex::index));
            if (newest.isEmpty()) {
                return Promises.delay(RETRY_DELAY_MILLIS).then(this::start);
            }
            return catchUp(newest.get())
                    .then(
                            updated -> startPolls(),
                            failure -> Promises.delay(RETRY_DELAY_MILLIS).then(this::start));
        });
    }

    /** Stops polling. */
    public void stop() {
        stopped = true;
    }

    /** Sends the reports to every source immediately, for example that this process is leaving. */
    public Promise<Void> reportNow() {
        return queryIndexes().toVoid();
    }

    /** A source that answered, and the index of its configuration. */
    private record SourceIndex(Address source, long index) {}

    /** Queries only the index of each source, so that a start transfers a single full configuration. */
    private Promise<List<SourceIndex>> queryIndexes() {
        List<Promise<Optional<SourceIndex>>> answers = new ArrayList<>();
        for (Address source : sources) {
            NodeRequest request = new NodeRequest.FetchConfiguration(Long.MAX_VALUE, 0, reports.get());
            answers.add(clients.ask(source, request, INDEX_TIMEOUT_MILLIS)
                    .map(
                            reply -> reply instanceof NodeReply.FetchedConfiguration fetched
                                    ? Optional.of(new SourceIndex(source, fetched.index()))
                                    : Optional.empty(),
                            failure -> Optional.empty()));
        }
        return Promises.toList(answers)
                .map(all -> all.stream().flatMap(Optional::stream).toList());
    }

    private Promise<Void> catchUp(SourceIndex newest) {
        return newest.index() <= holder.get().index()
                ? Promise.complete()
                : poll(newest.source(), 0, POLL_TIMEOUT_MILLIS).toVoid();
    }

    private Promise<Void> startPolls() {
        int polls = Math.min(CONCURRENT_POLLS, sources.size());
        for (int first = 0; first < polls; first++) {
            pollRepeatedly(first, 1);
        }
        return Promise.complete();
    }

    private void pollRepeatedly(int position, int pollCount) {
        if (stopped) {
            return;
        }
        poll(sources.get(position % sources.size()), LONG_POLL_MILLIS, POLL_TIMEOUT_MILLIS)
                .whenComplete((index, failure) -> {
                    boolean switchSource = failure != null || pollCount >= POLLS_PER_SOURCE;
                    int next = switchSource ? position + CONCURRENT_POLLS : position;
                    long pause = failure != null ? RETRY_DELAY_MILLIS : 0;
                    Promises.delay(pause).whenResult(() -> pollRepeatedly(next, switchSource ? 1 : pollCount + 1));
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
            return apply(source, fetched.update(), timeoutMillis);
        });
    }

    private Promise<Long> apply(Address source, ConfigurationUpdate update, long timeoutMillis) {
        Configuration held = holder.get();
        if (update.index() <= held.index()) {
            return Promise.of(held.index());
        }
        boolean applicable = update.baseIndex() == 0 || update.baseIndex() == held.index();
        Optional<Configuration> next = applicable ? update.applyTo(held) : Optional.empty();
        if (next.isPresent()) {
            holder.advanceTo(next.get());
            return Promise.of(update.index());
        }
        if (update.baseIndex() == 0) {
            LOG.log(
                    Level.WARNING,
                    "configuration " + update.index() + " from " + source + " does not match its digest");
            return Promise.ofException(new IllegalStateException(
                    "configuration " + update.index() + " from " + source + " does not match its digest"));
        }
        return fetchFull(source, timeoutMillis);
    }

    private Promise<Long> fetchFull(Address source, long timeoutMillis) {
        NodeRequest request = new NodeRequest.FetchConfiguration(0, 0, List.of());
        return clients.ask(source, request, timeoutMillis)
                .then(reply -> reply instanceof NodeReply.FetchedConfiguration fetched
                                && fetched.update() != null
                                && fetched.update().baseIndex() == 0
                        ? apply(source, fetched.update(), timeoutMillis)
                        : Promise.of(holder.get().index()));
    }
}
