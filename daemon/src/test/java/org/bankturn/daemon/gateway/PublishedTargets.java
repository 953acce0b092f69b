package org.bankturn.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.ServingConfiguration;

/** A control group in a test: it commits changes while it has a leader, and publishes each some time after its commit. */
final class PublishedTargets implements AutoCloseable {
    private static final long COMMIT_MILLIS = 4;

    private final ServingConfiguration configuration;
    private final Consumer<PublishedState> gateway;
    private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, TargetSighting> targets = new HashMap<>();
    private final Set<String> left = new HashSet<>();
    private final List<Runnable> withoutLeader = new ArrayList<>();
    private boolean hasLeader = true;
    private long index;

    PublishedTargets(ServingConfiguration configuration, Consumer<PublishedState> gateway) {
        this.configuration = configuration;
        this.gateway = gateway;
    }

    /** Takes the leader away for a while; changes meanwhile are committed afterwards. */
    void loseLeader(long afterMillis, long forMillis) {
        schedule(() -> hasLeader = false, afterMillis);
        schedule(this::regainLeader, afterMillis + forMillis);
    }

    private void regainLeader() {
        hasLeader = true;
        withoutLeader.forEach(Runnable::run);
        withoutLeader.clear();
    }

    /** Registers a target, which replaces any other at its address; the future completes with the acknowledgement. */
    CompletableFuture<Void> record(TargetSighting sighting, long publicationMillis) {
        return commit(
                () -> {
                    targets.values().removeIf(each -> each.address().equals(sighting.address()));
                    targets.put(sighting.id(), sighting);
                },
                publicationMillis);
    }

    /** Removes a target whose heartbeats are missed. */
    void removeSilent(String target, long publicationMillis) {
        CompletableFuture<Void> unused = commit(() -> targets.remove(target), publicationMillis);
    }

    /** Removes a target at its own request; the future completes with the acknowledgement. */
    CompletableFuture<Void> leave(String target, long publicationMillis) {
        return commit(
                () -> {
                    targets.remove(target);
                    left.add(target);
                },
                publicationMillis);
    }

    private CompletableFuture<Void> commit(Runnable change, long publicationMillis) {
        CompletableFuture<Void> acknowledged = new CompletableFuture<>();
        Runnable commit = () -> {
            change.run();
            acknowledged.complete(null);
            schedule(this::publish, publicationMillis);
        };
        schedule(
                () -> {
                    if (hasLeader) {
                        commit.run();
                    } else {
                        withoutLeader.add(commit);
                    }
                },
                COMMIT_MILLIS);
        return acknowledged;
    }

    private void publish() {
        PublishedState state = new PublishedState(
                ++index, configuration, List.of(), targets, List.of(), true, List.of(), List.of(), Set.copyOf(left));
        left.clear();
        gateway.accept(state);
    }

    private void schedule(Runnable action, long delayMillis) {
        Future<?> unused = scheduler.schedule(action, delayMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
    }
}
