package org.bankturn.lease;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The leases in the replicated state.
 *
 * <p>The table is independent of time: the leader passes the fence of an expired lease when it requests the next one;
 * see {@link LeaseExpiry}.
 *
 * <p>LeaseTable is mutable and not thread-safe.
 */
public final class LeaseTable {
    private final Map<String, Lease> leases = new TreeMap<>();

    /**
     * Restores a table from a snapshot.
     *
     * @param leases the result of {@link #leases()}, not null
     * @return the table, not null
     */
    public static LeaseTable of(Collection<Lease> leases) {
        LeaseTable table = new LeaseTable();
        leases.forEach(lease -> table.leases.put(lease.name(), lease));
        return table;
    }

    /** Creates an empty table. */
    public LeaseTable() {}

    /** Returns all leases ordered by name, not null. */
    public List<Lease> leases() {
        return List.copyOf(leases.values());
    }

    /**
     * Returns the latest lease of a resource.
     *
     * @param name the name of the resource, not null
     * @return the lease, released or not, empty if there is none
     */
    public Optional<Lease> find(String name) {
        return Optional.ofNullable(leases.get(name));
    }

    /**
     * Grants a lease unless another holder has an unexpired one.
     *
     * @param name the name of the resource, not null
     * @param holder the requesting process, not null
     * @param fence the fence of the new lease, greater than any previous one
     * @param durationMillis the duration
     * @param expiredFence the fence of the lease that the leader knows to be expired, 0 if none
     * @return the current lease, which is the new one if its fence is {@code fence}, not null
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
     * Releases a lease; does nothing if the fence does not match the current lease.
     *
     * @param name the name of the resource, not null
     * @param fence the fence of the lease
     */
    public void release(String name, long fence) {
        leases.computeIfPresent(name, (key, lease) -> lease.fence() == fence ? lease.asReleased() : lease);
    }
}
