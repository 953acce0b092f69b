package org.bankturn.registry;

/**
 * What a target says of itself in a heartbeat.
 *
 * @param id the target's incarnation: each start has another one, not null
 * @param name what the target calls itself; it may start again under the same name, not null
 * @param bornMillis when it started, in Unix milliseconds by its own clock, 0 if it does not say
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
        String name,
        long bornMillis,
        String service,
        String address,
        String dataHall,
        int slots,
        boolean draining,
        int heldVersion,
        long sequence) {
    private static final String BORN = "@";

    /** Takes what an earlier version stored, which knew no names, for targets whose incarnation is their name. */
    public TargetSighting {
        name = name == null ? id : name;
    }

    /** Returns the sighting of a target whose name is another one at each start. */
    public TargetSighting(
            String id,
            String service,
            String address,
            String dataHall,
            int slots,
            boolean draining,
            int heldVersion,
            long sequence) {
        this(id, id, 0, service, address, dataHall, slots, draining, heldVersion, sequence);
    }

    /** Returns the incarnation of a target that calls itself so and was born then, not null. */
    public static String incarnation(String name, long bornMillis) {
        return bornMillis == 0 ? name : name + BORN + bornMillis;
    }

    /** Returns true if this is a later start of the target that {@code other} was a start of. */
    public boolean isLaterStartOf(TargetSighting other) {
        return name.equals(other.name) && bornMillis > other.bornMillis;
    }

    /** Returns true if a target that said this before says nothing new with {@code other}, times and counts apart. */
    public boolean hasSameStateAs(TargetSighting other) {
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
        return new TargetSighting(id, name, bornMillis, service, address, dataHall, slots, true, heldVersion, sequence);
    }
}
