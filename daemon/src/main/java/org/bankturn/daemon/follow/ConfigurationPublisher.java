package org.bankturn.daemon.follow;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.activej.reactor.nio.NioReactor;
import java.util.ArrayList;
import java.util.List;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.ConfigurationUpdate;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.membership.ReportTable;

/**
 * Answers the long polls of processes that use this one as a configuration source.
 *
 * <p>ConfigurationPublisher is confined to its reactor's thread.
 */
public final class ConfigurationPublisher {
    private static final long MAX_WAIT_MILLIS = 30_000;

    private final ConfigurationHolder holder;
    private final ReportTable reports;
    private List<SettablePromise<Void>> waiters = new ArrayList<>();

    /**
     * Creates a publisher.
     *
     * @param reactor the reactor whose thread answers the polls, not null
     * @param holder the current configuration, not null
     * @param reports receives the reports sent with the polls, not null
     * @return the publisher, not null
     */
    public static ConfigurationPublisher of(NioReactor reactor, ConfigurationHolder holder, ReportTable reports) {
        return new ConfigurationPublisher(reactor, holder, reports);
    }

    private ConfigurationPublisher(NioReactor reactor, ConfigurationHolder holder, ReportTable reports) {
        this.holder = holder;
        this.reports = reports;
        holder.onAdvance(configuration -> reactor.execute(this::completeWaiters));
    }

    /**
     * Answers a poll immediately if a newer configuration exists, otherwise when one arrives or the wait ends.
     *
     * @param request the poll, not null
     * @return the reply, not null
     */
    public Promise<NodeReply> answer(NodeRequest.FetchConfiguration request) {
        reports.receive(request.reports());
        if (hasUpdateFor(request) || request.waitMillis() <= 0) {
            return Promise.of(replyTo(request));
        }
        SettablePromise<Void> advance = new SettablePromise<>();
        waiters.add(advance);
        long wait = Math.min(request.waitMillis(), MAX_WAIT_MILLIS);
        return Promises.timeout(wait, advance).map(nothing -> replyTo(request), failure -> {
            waiters.remove(advance);
            return replyTo(request);
        });
    }

    private void completeWaiters() {
        List<SettablePromise<Void>> completed = waiters;
        waiters = new ArrayList<>();
        completed.forEach(advance -> advance.trySet(null));
    }

    private boolean hasUpdateFor(NodeRequest.FetchConfiguration request) {
        return holder.get().index() > request.haveIndex();
    }

    private NodeReply replyTo(NodeRequest.FetchConfiguration request) {
        Configuration held = holder.get();
        ConfigurationUpdate update =
                hasUpdateFor(request) ? ConfigurationUpdate.between(request.haveIndex(), held) : null;
        return new NodeReply.FetchedConfiguration(held.index(), update);
    }
}
