package org.bankturn.daemon.target;

import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CancellationException;
import java.util.function.ToIntFunction;
import org.bankturn.configuration.Box;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.Model;
import org.bankturn.configuration.ModelVersion;
import org.bankturn.distribution.ChunkFile;
import org.bankturn.distribution.NeighbourSelector;

/**
 * Reconciles the model versions on this box with the configuration: copies and loads the wanted version, and unloads and
 * deletes versions that are no longer needed.
 *
 * <p>The copy of a version that is no longer wanted is cancelled. A loaded version is unloaded when another version has
 * been in service for a delay and no request is running on it.
 *
 * <p>VersionManager is confined to its reactor's thread; {@link #loaded()} may be read from any thread.
 */
final class VersionManager {
    private static final Logger LOG = System.getLogger(VersionManager.class.getName());
    private static final long RECONCILE_INTERVAL_MILLIS = 200;
    private static final long UNLOAD_DELAY_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 1_000;

    private final TargetContext context;
    private final ChunkServer server;
    private final EngineOrders orders;
    private final ConfigurationHolder holder;
    private final ToIntFunction<String> runningRequests;
    private final Map<String, ChunkFile> files = new HashMap<>();
    private volatile List<String> loaded = List.of();
    private volatile String note = "";
    private VersionCopy copy;
    private String copyManifest;
    private String failedManifest;
    private boolean orderInProgress;
    private boolean loadedVersionsKnown;
    private long retryAtMillis;
    private long unneededSinceMillis;
    private boolean closed;

    VersionManager(
            TargetContext context,
            ChunkServer server,
            EngineOrders orders,
            ConfigurationHolder holder,
            ToIntFunction<String> runningRequests) {
        this.context = context;
        this.server = server;
        this.orders = orders;
        this.holder = holder;
        this.runningRequests = runningRequests;
    }

    /** Returns the manifests of the versions that the engine serves, not null. */
    List<String> loaded() {
        return loaded;
    }

    /** Returns a message for operators, empty if there is none, not null. */
    String note() {
        return note;
    }

    void start() {
        reconcilePeriodically();
    }

    void close() {
        closed = true;
        cancelCopy();
    }

    /** Reconciles immediately without waiting for the next interval. */
    void reconcileNow() {
        if (closed) {
            return;
        }
        try {
            reconcile(holder.get());
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "version reconciliation failed", e);
        }
    }

    private void reconcilePeriodically() {
        if (closed) {
            return;
        }
        reconcileNow();
        Promises.delay(RECONCILE_INTERVAL_MILLIS).whenResult(this::reconcilePeriodically);
    }

    private void reconcile(Configuration configuration) {
        Optional<Box> self = configuration.box(context.box());
        Optional<Model> model = self.flatMap(configuration::modelServedBy);
        Optional<ModelVersion> wanted = model.flatMap(configuration::desiredVersion);
        if (wanted.isEmpty()) {
            cancelCopy();
            return;
        }
        if (!loadedVersionsKnown) {
            queryLoadedVersions();
            return;
        }
        String manifest = wanted.get().manifest();
        if (copyManifest != null && !copyManifest.equals(manifest)) {
            cancelCopy();
        }
        boolean due = context.clock().millis() >= retryAtMillis && !manifest.equals(failedManifest);
        if (copy == null && !orderInProgress && due) {
            copyOrLoad(configuration, self.get(), model.get(), wanted.get());
        }
        unloadUnneeded(configuration, model.get(), manifest);
    }

    private void queryLoadedVersions() {
        if (orderInProgress || context.clock().millis() < retryAtMillis) {
            return;
        }
        orderInProgress = true;
        orders.loaded().whenComplete((manifests, failure) -> {
            orderInProgress = false;
            retryAtMillis = context.clock().millis() + RETRY_MILLIS;
            if (failure == null) {
                loaded = manifests;
                loadedVersionsKnown = true;
                retryAtMillis = 0;
            }
        });
    }

    /** Copies the version, or loads it if the copy is complete. */
    private void copyOrLoad(Configuration configuration, Box self, Model model, ModelVersion version) {
        ChunkFile file = files.get(version.manifest());
        if (file == null) {
            startCopy(configuration, self, model, version);
        } else if (!loaded.contains(version.manifest())) {
            load(file, version);
        }
    }

    private void startCopy(Configuration configuration, Box self, Model model, ModelVersion version) {
        List<Box> neighbours = NeighbourSelector.select(self, configuration.boxesServing(model));
        VersionCopy started = new VersionCopy(context, server, model, version, neighbours);
        copy = started;
        copyManifest = version.manifest();
        LOG.log(Level.INFO, "copy started: " + version.model() + " " + version.name());
        started.start().whenComplete((file, failure) -> {
            if (copy != started) {
                return;
            }
            copy = null;
            copyManifest = null;
            if (failure != null) {
                copyFailed(version, failure);
            } else {
                files.put(version.manifest(), file);
                reconcile(holder.get());
            }
        });
    }

    private void copyFailed(ModelVersion version, Exception failure) {
        if (failure instanceof CancellationException) {
            return;
        }
        note = version.name() + ": " + failure.getMessage();
        LOG.log(Level.ERROR, "copy failed: " + note);
        retryAtMillis = context.clock().millis() + RETRY_MILLIS;
        if (failure instanceof CopyStoppedException) {
            failedManifest = version.manifest();
        }
    }

    private void load(ChunkFile file, ModelVersion version) {
        orderInProgress = true;
        orders.load(version.manifest(), file.path().toAbsolutePath().toString()).whenComplete((manifests, failure) -> {
            orderInProgress = false;
            if (failure != null) {
                LOG.log(Level.WARNING, "load of " + version.name() + " failed: " + failure.getMessage());
                loadedVersionsKnown = false;
                retryAtMillis = context.clock().millis() + RETRY_MILLIS;
                return;
            }
            loaded = manifests;
            note = "";
            LOG.log(Level.INFO, "version loaded: " + version.model() + " " + version.name());
        });
    }

    private void cancelCopy() {
        if (copy != null) {
            LOG.log(Level.INFO, "copy cancelled: " + copyManifest);
            VersionCopy cancelled = copy;
            copy = null;
            copyManifest = null;
            cancelled.stop();
        }
    }

    private void unloadUnneeded(Configuration configuration, Model model, String wanted) {
        String inService = configuration.inService().get(model.name());
        List<String> unneeded = new ArrayList<>(loaded);
        unneeded.remove(wanted);
        unneeded.remove(inService);
        long now = context.clock().millis();
        if (unneeded.isEmpty() || !wanted.equals(inService)) {
            unneededSinceMillis = now;
            return;
        }
        String manifest = unneeded.get(0);
        boolean delayElapsed = now - unneededSinceMillis >= UNLOAD_DELAY_MILLIS;
        if (delayElapsed && !orderInProgress && runningRequests.applyAsInt(manifest) == 0) {
            unload(manifest);
        }
    }

    private void unload(String manifest) {
        orderInProgress = true;
        loaded = loaded.stream().filter(each -> !each.equals(manifest)).toList();
        orders.unload(manifest)
                .then(manifests -> {
                    loaded = manifests;
                    return delete(manifest);
                })
                .whenComplete((nothing, failure) -> {
                    orderInProgress = false;
                    if (failure != null) {
                        LOG.log(Level.WARNING, "unload of " + manifest + " failed: " + failure.getMessage());
                        loadedVersionsKnown = false;
                        retryAtMillis = context.clock().millis() + RETRY_MILLIS;
                    }
                });
    }

    private Promise<Void> delete(String manifest) {
        server.stopServing(manifest);
        ChunkFile file = files.remove(manifest);
        if (file == null) {
            return Promise.complete();
        }
        return Promise.ofBlocking(context.files(), () -> deleteQuietly(file));
    }

    private static void deleteQuietly(ChunkFile file) {
        try {
            file.delete();
        } catch (IOException e) {
            LOG.log(Level.WARNING, "could not delete " + file, e);
        }
    }
}
