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
 * Answers the long polls of processes that follow this one.
 *
 * <p>ConfigurationPublisher is confined to its reactor's thread.
 */
public final class ConfigurationPublisher {
    private static final long LONGEST_WAIT_MILLIS = 30_000;

    private final ConfigurationHolder holder;
    private final ReportTable reports;
    private List<SettablePromise<Void>> waiting = new ArrayList<>();

    /**
     * Creates a publisher.
     *
     * @param reactor the reactor whose thread answers, not null
     * @param holder what is in force here, not null
     * @param reports takes the reports that polls carry, not null
     * @return the publisher, not null
     */
    public static ConfigurationPublisher of(NioReactor reactor, ConfigurationHolder holder, ReportTable reports) {
        return new ConfigurationPublisher(reactor, holder, reports);
    }

    private ConfigurationPublisher(NioReactor reactor, ConfigurationHolder holder, ReportTable reports) {
        this.holder = holder;
        this.reports = reports;
        holder.onAdvance(configuration -> reactor.execute(this::wakeAll));
    }

    /**
     * Answers a poll, at once if there is something newer, else when there is or time runs out.
     *
     * @param request the poll, not null
     * @return the reply, not null
     */
    public Promise<NodeReply> answer(NodeRequest.FetchConfiguration request) {
        reports.receive(request.reports());
        if (isNewsFor(request) || request.waitMillis() <= 0) {
            return Promise.of(replyTo(request));
        }
        SettablePromise<Void> news = new SettablePromise<>();
        waiting.add(news);
        long wait = Math.min(request.waitMillis(), LONGEST_WAIT_MILLIS);
        return Promises.timeout(wait, news).map(nothing -> replyTo(request), failure -> {
            waiting.remove(news);
            return replyTo(request);
        });
    }

    private void wakeAll() {
        List<SettablePromise<Void>> woken = waiting;
        waiting = new ArrayList<>();
        woken.forEach(news -> news.trySet(null));
    }

    private boolean isNewsFor(NodeRequest.FetchConfiguration request) {
        return holder.get().index() > request.haveIndex();
    }

    private NodeReply replyTo(NodeRequest.FetchConfiguration request) {
        Configuration held = holder.get();
        ConfigurationUpdate update = isNewsFor(request) ? ConfigurationUpdate.between(request.haveIndex(), held) : null;
        return new NodeReply.FetchedConfiguration(held.index(), update);
    }
}
