package org.bankturn.lease;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Every lease, as part of the state that the agreement log leads to.
 *
 * <p>It knows no time: a leader that has waited out a lease names its fence when it asks for the next one (see
 * {@link LeaseExpiry}).
 *
 * <p>LeaseTable is mutable and not thread-safe.
 */
public final class LeaseTable {
    private final Map<String, Lease> leases = new TreeMap<>();

    /**
     * Restores a table.
     *
     * @param leases what {@link #leases()} gave, not null
     * @return the table, not null
     */
    public static LeaseTable of(Collection<Lease> leases) {
        LeaseTable table = new LeaseTable();
        leases.forEach(lease -> table.leases.put(lease.name(), lease));
        return table;
    }

    /** Creates a table without leases. */
    public LeaseTable() {}

    /** Returns every lease, by name, not null. */
    public List<Lease> leases() {
        return List.copyOf(leases.values());
    }

    /**
     * Finds a lease.
     *
     * @param name what is leased, not null
     * @return the newest lease of it, released or not, empty if there was none
     */
    public Optional<Lease> find(String name) {
        return Optional.ofNullable(leases.get(name));
    }

    /**
     * Grants a lease unless another holder's stands in the way.
     *
     * @param name what is leased, not null
     * @param holder who asks, not null
     * @param fence the new fence, greater than any before
     * @param durationMillis how long it lasts
     * @param expiredFence the fence of the lease that the leader has waited out, 0 for none
     * @return the lease now in force: granted if its fence is {@code fence}, not null
     */
    public Lease acquire(String name, String holder, long fence, long durationMillis, long expiredFence) {
        Lease current = leases.get(name);
        boolean free = current == null
                || current.released()
                || current.holder().equals(holder)
                || current.fence() == expiredFence;
        if (!free) {
            return current;
        }
        Lease granted = new Lease(name, holder, fence, durationMillis, false);
        leases.put(name, granted);
        return granted;
    }

    /**
     * Gives up a lease; does nothing if the fence is not the newest.
     *
     * @param name what is leased, not null
     * @param fence the fence that the lease was granted with
     */
    public void release(String name, long fence) {
        leases.computeIfPresent(name, (key, lease) -> lease.fence() == fence ? lease.asReleased() : lease);
    }
}
