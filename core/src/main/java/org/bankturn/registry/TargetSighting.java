package org.bankturn.registry;

import com.fasterxml.jackson.annotation.JsonInclude;

/**
 * The content of a target's heartbeat.
 *
 * @param id the target's incarnation, unique to each start, not null
 * @param name the target's name, which it may keep across restarts, not null
 * @param bornMillis its start time in Unix milliseconds by its own clock, 0 if unknown
 * @param service the service it belongs to, not null
 * @param address its address as host:port, not null
 * @param dataHall its data hall, not null
 * @param slots the number of requests it runs concurrently
 * @param draining true if it is about to leave
 * @param heldVersion the version of the weights that it holds completely, 0 for none, -1 if it needs none
 * @param sequence the number of the heartbeat, increasing within an incarnation
 * @param coldMillis how much longer the target bears only a part of its load, 0 if it bears all of it
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
        long sequence,
        // omitted when 0, so that sightings of warm targets are stored as in earlier builds
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) long coldMillis) {
    private static final String START_TIME_SEPARATOR = "@";

    /** Uses the incarnation as the name of sightings that an earlier version stored without names. */
    public TargetSighting {
        name = name == null ? id : name;
    }

    /** Creates the sighting of a target whose name is unique to each start. */
    public TargetSighting(
            String id,
            String service,
            String address,
            String dataHall,
            int slots,
            boolean draining,
            int heldVersion,
            long sequence) {
        this(id, id, 0, service, address, dataHall, slots, draining, heldVersion, sequence, 0);
    }

    /** Creates the sighting of a target that bears its full load. */
    public TargetSighting(
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
        this(id, name, bornMillis, service, address, dataHall, slots, draining, heldVersion, sequence, 0);
    }

    /** Returns the incarnation of a target with the given name and start time, not null. */
    public static String incarnation(String name, long bornMillis) {
        return bornMillis == 0 ? name : name + START_TIME_SEPARATOR + bornMillis;
    }

    /** Returns true if no other incarnation has the same name; an answer under that name is then this incarnation's. */
    public boolean hasUniqueName() {
        return name.equals(id);
    }

    /** Returns true if this is a later incarnation of the same target as {@code other}. */
    public boolean isLaterStartOf(TargetSighting other) {
        return name.equals(other.name) && bornMillis > other.bornMillis;
    }

    /**
     * Returns true if a newer sighting need not be recorded after this one: it is equal apart from name, start time and
     * sequence, and its cold time only counted down.
     */
    public boolean hasSameStateAs(TargetSighting newer) {
        boolean becameWarm = coldMillis > 0 && newer.coldMillis == 0;
        return hasSameRegistrationAs(newer) && newer.coldMillis <= coldMillis && !becameWarm;
    }

    private boolean hasSameRegistrationAs(TargetSighting other) {
        return id.equals(other.id)
                && service.equals(other.service)
                && address.equals(other.address)
                && dataHall.equals(other.dataHall)
                && slots == other.slots
                && draining == other.draining
                && heldVersion == other.heldVersion;
    }

    /** Returns a copy of this sighting with another cold time. */
    TargetSighting withColdMillis(long millis) {
        return new TargetSighting(
                id, name, bornMillis, service, address, dataHall, slots, draining, heldVersion, sequence, millis);
    }

    /** Returns a copy of this sighting that is draining. */
    public TargetSighting asDraining() {
        return new TargetSighting(
                id, name, bornMillis, service, address, dataHall, slots, true, heldVersion, sequence, coldMillis);
    }
}
