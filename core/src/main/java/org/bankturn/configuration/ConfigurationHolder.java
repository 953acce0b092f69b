package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * Holds the current configuration of this process, whose index never decreases.
 *
 * <p>Reads are lock-free; an update replaces the immutable configuration atomically.
 *
 * <p>ConfigurationHolder is thread-safe.
 */
public final class ConfigurationHolder {
    private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();

    /** Creates a holder with the empty configuration. */
    public ConfigurationHolder() {}

    /** Returns the current configuration, not null. */
    public Configuration get() {
        return current.get();
    }

    /**
     * Replaces the current configuration if the candidate has a higher index.
     *
     * @param candidate the new configuration, not null
     * @return true if the candidate replaced the current configuration
     */
    public boolean advanceTo(Configuration candidate) {
        Configuration previous =
                current.getAndUpdate(existing -> candidate.index() > existing.index() ? candidate : existing);
        if (candidate.index() <= previous.index()) {
            return false;
        }
        List<Consumer<Configuration>> snapshot;
        synchronized (listeners) {
            snapshot = List.copyOf(listeners);
        }
        snapshot.forEach(listener -> listener.accept(current.get()));
        return true;
    }

    /**
     * Registers a listener that is called after each update, on the updating thread.
     *
     * @param listener the listener, not null
     */
    public void onAdvance(Consumer<Configuration> listener) {
        synchronized (listeners) {
            listeners.add(listener);
        }
    }
}
