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
 * Keeps this box's versions as the configuration wants them: copies, loads, and later unloads and deletes.
 *
 * <p>A version that is no longer wanted while its copy is under way is cancelled. A loaded version stays until another is
 * in service, a while has passed, and no request runs on it.
 *
 * <p>VersionManager is confined to its reactor's thread; {@link #loaded()} may be read from any thread.
 */
final class VersionManager {
    private static final Logger LOG = System.getLogger(VersionManager.class.getName());
    private static final long CHECK_MILLIS = 200;
    private static final long UNLOAD_AFTER_MILLIS = 3_000;
    private static final long RETRY_MILLIS = 1_000;

    private final TargetContext context;
    private final ChunkServer server;
    private final EngineOrders orders;
    private final ConfigurationHolder holder;
    private final ToIntFunction<String> runningRequestsOn;
    private final Map<String, ChunkFile> files = new HashMap<>();
    private volatile List<String> loaded = List.of();
    private volatile String note = "";
    private VersionCopy copy;
    private String copying;
    private String stoppedOn;
    private boolean ordering;
    private boolean engineAsked;
    private long retryAtMillis;
    private long unneededSinceMillis;
    private boolean closed;

    VersionManager(
            TargetContext context,
            ChunkServer server,
            EngineOrders orders,
            ConfigurationHolder holder,
            ToIntFunction<String> runningRequestsOn) {
        this.context = context;
        this.server = server;
        this.orders = orders;
        this.holder = holder;
        this.runningRequestsOn = runningRequestsOn;
    }

    /** Returns the manifests that the engine serves whole, not null. */
    List<String> loaded() {
        return loaded;
    }

    /** Returns what operators should know, empty if nothing, not null. */
    String note() {
        return note;
    }

    void start() {
        check();
    }

    void close() {
        closed = true;
        cancelCopy();
    }

    /** Looks at the configuration at once, as when it has changed. */
    void reconcileNow() {
        if (closed) {
            return;
        }
        try {
            bringIntoLine(holder.get());
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "check of versions failed", e);
        }
    }

    private void check() {
        if (closed) {
            return;
        }
        reconcileNow();
        Promises.delay(CHECK_MILLIS).whenResult(this::check);
    }

    private void bringIntoLine(Configuration configuration) {
        Optional<Box> self = configuration.box(context.box());
        Optional<Model> model = self.flatMap(configuration::modelOn);
        Optional<ModelVersion> wanted = model.flatMap(configuration::wantedVersion);
        if (wanted.isEmpty()) {
            cancelCopy();
            return;
        }
        if (!engineAsked) {
            askEngine();
            return;
        }
        String manifest = wanted.get().manifest();
        if (copying != null && !copying.equals(manifest)) {
            cancelCopy();
        }
        boolean due = context.clock().millis() >= retryAtMillis && !manifest.equals(stoppedOn);
        if (copy == null && !ordering && due) {
            advance(configuration, self.get(), model.get(), wanted.get());
        }
        dropUnneeded(configuration, model.get(), manifest);
    }

    private void askEngine() {
        if (ordering || context.clock().millis() < retryAtMillis) {
            return;
        }
        ordering = true;
        orders.loaded().whenComplete((manifests, failure) -> {
            ordering = false;
            retryAtMillis = context.clock().millis() + RETRY_MILLIS;
            if (failure == null) {
                loaded = manifests;
                engineAsked = true;
                retryAtMillis = 0;
            }
        });
    }

    /** Takes the next step: a whole copy first, then the order to load it. */
    private void advance(Configuration configuration, Box self, Model model, ModelVersion version) {
        ChunkFile file = files.get(version.manifest());
        if (file == null) {
            startCopy(configuration, self, model, version);
        } else if (!loaded.contains(version.manifest())) {
            load(file, version);
        }
    }

    private void startCopy(Configuration configuration, Box self, Model model, ModelVersion version) {
        List<Box> neighbours = NeighbourSelector.select(self, configuration.boxesOf(model));
        VersionCopy started = new VersionCopy(context, server, model, version, neighbours);
        copy = started;
        copying = version.manifest();
        LOG.log(Level.INFO, "copy begins: " + version.model() + " " + version.name());
        started.start().whenComplete((file, failure) -> {
            if (copy != started) {
                return;
            }
            copy = null;
            copying = null;
            if (failure != null) {
                copyFailed(version, failure);
            } else {
                files.put(version.manifest(), file);
                bringIntoLine(holder.get());
            }
        });
    }

    private void copyFailed(ModelVersion version, Exception failure) {
        if (failure instanceof CancellationException) {
            return;
        }
        note = version.name() + ": " + failure.getMessage();
        LOG.log(Level.ERROR, "copy stopped: " + note);
        retryAtMillis = context.clock().millis() + RETRY_MILLIS;
        if (failure instanceof CopyStoppedException) {
            stoppedOn = version.manifest();
        }
    }

    private void load(ChunkFile file, ModelVersion version) {
        ordering = true;
        orders.load(version.manifest(), file.path().toAbsolutePath().toString()).whenComplete((manifests, failure) -> {
            ordering = false;
            if (failure != null) {
                LOG.log(Level.WARNING, "load of " + version.name() + " failed: " + failure.getMessage());
                engineAsked = false;
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
            LOG.log(Level.INFO, "copy cancelled: " + copying);
            VersionCopy cancelled = copy;
            copy = null;
            copying = null;
            cancelled.stop();
        }
    }

    private void dropUnneeded(Configuration configuration, Model model, String wanted) {
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
        boolean settled = now - unneededSinceMillis >= UNLOAD_AFTER_MILLIS;
        if (settled && !ordering && runningRequestsOn.applyAsInt(manifest) == 0) {
            unload(manifest);
        }
    }

    private void unload(String manifest) {
        ordering = true;
        loaded = loaded.stream().filter(each -> !each.equals(manifest)).toList();
        orders.unload(manifest)
                .then(manifests -> {
                    loaded = manifests;
                    return delete(manifest);
                })
                .whenComplete((nothing, failure) -> {
                    ordering = false;
                    if (failure != null) {
                        LOG.log(Level.WARNING, "unload failed: " + failure.getMessage());
                        engineAsked = false;
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
            LOG.log(Level.WARNING, "cannot delete " + file, e);
        }
    }
}
