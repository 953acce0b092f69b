package org.bankturn.registry;

/**
 * What a target says of itself in a heartbeat.
 *
 * @param id the target's incarnation: each start has a new one, not null
 * @param service the service it belongs to, not null
 * @param address where it is reached, host:port, not null
 * @param dataHall the data hall it is in, not null
 * @param slots the requests it runs at once
 * @param draining true once it is about to leave
 * @param heldVersion the version of the weights that it holds whole, 0 for none, -1 if it needs none
 * @param sequence rises with each heartbeat of the incarnation
 */
public record TargetSighting(
        String id,
        String service,
        String address,
        String dataHall,
        int slots,
        boolean draining,
        int heldVersion,
        long sequence) {
    /** Returns true if a target that said this before says nothing new with {@code other}, times and counts apart. */
    public boolean saysTheSameAs(TargetSighting other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && address.equals(other.address)
                && dataHall.equals(other.dataHall)
                && slots == other.slots
                && draining == other.draining
                && heldVersion == other.heldVersion;
    }

    /** Returns this sighting as that of a leaving target. */
    public TargetSighting asDraining() {
        return new TargetSighting(id, service, address, dataHall, slots, true, heldVersion, sequence);
    }
}
