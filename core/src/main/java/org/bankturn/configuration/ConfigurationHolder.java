package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

/**
 * The configuration in force in this process; it never goes back to an older one.
 *
 * <p>Readers take the current copy without waiting; it is replaced as a whole (read-copy-update).
 *
 * <p>ConfigurationHolder is thread-safe.
 */
public final class ConfigurationHolder {
    private final AtomicReference<Configuration> current = new AtomicReference<>(Configuration.empty());
    private final List<Consumer<Configuration>> listeners = new ArrayList<>();

    /** Creates a holder of the empty configuration. */
    public ConfigurationHolder() {}

    /** Returns what is in force, not null. */
    public Configuration get() {
        return current.get();
    }

    /**
     * Puts a configuration in force if it is newer than the one held.
     *
     * @param candidate the configuration, not null
     * @return true if it is now in force, false if the one held is as new
     */
    public boolean advanceTo(Configuration candidate) {
        Configuration before = current.getAndUpdate(held -> candidate.index() > held.index() ? candidate : held);
        if (candidate.index() <= before.index()) {
            return false;
        }
        List<Consumer<Configuration>> told;
        synchronized (listeners) {
            told = List.copyOf(listeners);
        }
        told.forEach(listener -> listener.accept(current.get()));
        return true;
    }

    /**
     * Calls a listener after each advance, on the thread that made it.
     *
     * @param listener the listener, not null
     */
    public void onAdvance(Consumer<Configuration> listener) {
        synchronized (listeners) {
            listeners.add(listener);
        }
    }
}
