package org.bankturn.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The registered targets and the recently removed ones.
 *
 * <p>An incarnation that is draining never becomes ready again, and one that left is never registered again. A target may
 * restart under its name; heartbeats of a later incarnation supersede those of earlier ones, whatever their sequence.
 *
 * <p>At most one target is registered per address. If incarnations with different names announce the same address, their
 * heartbeats do not show which is the later one, since a network partition may have delayed any of them. {@link Evidence}
 * tells what was verified before such a heartbeat is recorded.
 *
 * <p>Every change carries the index of its log entry, so that members that apply the same entries hold the same state.
 *
 * <p>TargetRegistry is mutable and not thread-safe.
 */
public final class TargetRegistry {
    private static final int MAX_DEPARTURES = 512;

    private final Map<String, TargetRecord> targets = new LinkedHashMap<>();
    private final Map<String, Departure> departures = new LinkedHashMap<>();
    private long forgottenUntil;

    /**
     * A removed incarnation.
     *
     * @param id the incarnation, not null
     * @param name the target's name; null if stored by an earlier version, where the incarnation is the name
     * @param bornMillis the start time of the incarnation, 0 if unknown
     * @param lastSequence the sequence of its last recorded heartbeat
     * @param index the index of the log entry that removed it
     * @param byItself true if the target was removed at its own request and must not be registered again
     * @param address its address; null if it was never registered, or was stored by an earlier version
     */
    public record Departure(
            String id, String name, long bornMillis, long lastSequence, long index, boolean byItself, String address) {
        private boolean supersedes(TargetSighting sighting) {
            return sighting.name().equals(name) && bornMillis > sighting.bornMillis();
        }

        private boolean isSupersededBy(TargetSighting sighting) {
            return sighting.name().equals(name) && bornMillis < sighting.bornMillis();
        }
    }

    /**
     * The content of a registry in a snapshot.
     *
     * @param targets the registered targets, not null
     * @param departures the recently removed incarnations, not null
     * @param forgottenUntil the highest log index up to which departures may have been evicted
     */
    public record Content(List<TargetRecord> targets, List<Departure> departures, long forgottenUntil) {}

    /** Returns an empty registry, not null. */
    public static TargetRegistry empty() {
        return new TargetRegistry();
    }

    /** Returns a registry with the given content, not null. */
    public static TargetRegistry restore(Content content) {
        TargetRegistry registry = new TargetRegistry();
        content.targets().forEach(each -> registry.targets.put(each.sighting().id(), each));
        content.departures().forEach(each -> registry.departures.put(each.id(), each));
        registry.forgottenUntil = content.forgottenUntil();
        return registry;
    }

    private TargetRegistry() {}

    /** Returns the content for a snapshot, not null. */
    public Content content() {
        return new Content(List.copyOf(targets.values()), List.copyOf(departures.values()), forgottenUntil);
    }

    /** Returns the highest log index up to which departures may have been evicted, 0 if none were. */
    public long forgottenUntil() {
        return forgottenUntil;
    }

    /** Returns the target with an incarnation, empty if it is not registered. */
    public Optional<TargetRecord> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the latest incarnation of the target with a name, empty if none is registered. */
    public Optional<TargetRecord> findByName(String name) {
        return targets.values().stream()
                .filter(each -> each.sighting().name().equals(name))
                .max(Comparator.comparingLong(each -> each.sighting().bornMillis()));
    }

    /** Returns all registered targets, not null. */
    public Collection<TargetRecord> all() {
        return List.copyOf(targets.values());
    }

    /** Returns true if the incarnation was removed at its own request. */
    public boolean hasLeft(String id) {
        Departure departure = departures.get(id);
        return departure != null && departure.byItself();
    }

    /** Returns true if recording the sighting without further evidence would change the registry. */
    public boolean wouldChange(TargetSighting sighting) {
        return wouldChange(sighting, Evidence.ARRIVAL);
    }

    /** Returns true if recording the sighting would change the registry. */
    public boolean wouldChange(TargetSighting sighting, Evidence evidence) {
        TargetRecord known = targets.get(sighting.id());
        if (known != null) {
            return sighting.sequence() > known.sighting().sequence()
                    && !known.sighting().hasSameStateAs(retainDraining(known, sighting));
        }
        if (isSuperseded(sighting) || !evidence.permitsRecording(hasAddressConflict(sighting))) {
            return false;
        }
        Departure departure = departures.get(sighting.id());
        if (departure == null) {
            return true;
        }
        boolean mayReturn = !departure.byItself() && (evidence == Evidence.SETTLED || !isAddressTaken(sighting));
        return mayReturn && sighting.sequence() > departure.lastSequence();
    }

    /**
     * Returns true if an unregistered incarnation announces an address at which another incarnation is registered, or was
     * registered later, so that the sighting alone does not show which of them is reachable there.
     */
    public boolean hasAddressConflict(TargetSighting sighting) {
        if (targets.containsKey(sighting.id()) || hasLeft(sighting.id()) || isSuperseded(sighting)) {
            return false;
        }
        boolean another = targets.values().stream()
                .map(TargetRecord::sighting)
                .anyMatch(each -> each.address().equals(sighting.address()) && !sighting.isLaterStartOf(each));
        Departure own = departures.get(sighting.id());
        long since = own == null ? 0 : own.index();
        return another
                || departures.values().stream()
                        .filter(each -> !each.id().equals(sighting.id()) && each.index() > since)
                        .filter(each -> !each.isSupersededBy(sighting))
                        .anyMatch(each -> sighting.address().equals(each.address()));
    }

    /** Returns true if a later incarnation of the target is known. */
    private boolean isSuperseded(TargetSighting sighting) {
        boolean present =
                targets.values().stream().anyMatch(each -> each.sighting().isLaterStartOf(sighting));
        return present || departures.values().stream().anyMatch(each -> each.supersedes(sighting));
    }

    /** Returns true if another incarnation is registered at the address; a delayed heartbeat must not displace it. */
    private boolean isAddressTaken(TargetSighting departed) {
        return targets.values().stream()
                .anyMatch(each -> each.sighting().address().equals(departed.address()));
    }

    /**
     * Records a sighting without further evidence.
     *
     * @param index the index of the log entry
     * @param sighting the sighting, not null
     */
    public void record(long index, TargetSighting sighting) {
        record(index, sighting, Evidence.ARRIVAL);
    }

    /**
     * Records a sighting.
     *
     * @param index the index of the log entry
     * @param sighting the sighting, not null
     * @param evidence the evidence besides the heartbeat, not null
     */
    public void record(long index, TargetSighting sighting, Evidence evidence) {
        if (!wouldChange(sighting, evidence)) {
            return;
        }
        List<String> replaced = new ArrayList<>();
        for (TargetRecord each : targets.values()) {
            boolean sameAddress = each.sighting().address().equals(sighting.address());
            boolean another = !each.sighting().id().equals(sighting.id());
            if ((sameAddress && another) || sighting.isLaterStartOf(each.sighting())) {
                replaced.add(each.sighting().id());
            }
        }
        replaced.forEach(id -> remove(index, id, false));
        TargetRecord known = targets.get(sighting.id());
        departures.remove(sighting.id());
        targets.put(sighting.id(), new TargetRecord(known == null ? sighting : retainDraining(known, sighting), index));
    }

    /**
     * Removes an incarnation.
     *
     * @param index the index of the log entry
     * @param id the incarnation, not null
     * @param byItself true if the target was removed at its own request
     */
    public void remove(long index, String id, boolean byItself) {
        remove(index, id, id, 0, byItself);
    }

    /**
     * Removes an incarnation, whether registered or not, and all earlier incarnations of the same target.
     *
     * @param index the index of the log entry
     * @param id the incarnation, not null
     * @param name the target's name, not null
     * @param bornMillis the start time of the incarnation, 0 if unknown
     * @param byItself true if the target was removed at its own request
     */
    public void remove(long index, String id, String name, long bornMillis, boolean byItself) {
        // otherwise an earlier incarnation would stay registered, since its heartbeats are superseded
        List<String> former = targets.values().stream()
                .map(TargetRecord::sighting)
                .filter(each -> each.name().equals(name) && each.bornMillis() < bornMillis)
                .map(TargetSighting::id)
                .toList();
        former.forEach(each -> removeOne(index, each, each, 0, false));
        removeOne(index, id, name, bornMillis, byItself);
    }

    private void removeOne(long index, String id, String assumedName, long assumedBornMillis, boolean byItself) {
        TargetRecord known = targets.remove(id);
        long last = known == null ? 0 : known.sighting().sequence();
        departures.remove(id);
        String name = known == null ? assumedName : known.sighting().name();
        long bornMillis = known == null ? assumedBornMillis : known.sighting().bornMillis();
        String address = known == null ? null : known.sighting().address();
        departures.put(id, new Departure(id, name, bornMillis, last, index, byItself, address));
        if (departures.size() > MAX_DEPARTURES) {
            Departure oldest = departures.values().iterator().next();
            departures.remove(oldest.id());
            forgottenUntil = Math.max(forgottenUntil, oldest.index());
        }
    }

    private static TargetSighting retainDraining(TargetRecord known, TargetSighting sighting) {
        return known.sighting().draining() ? sighting.asDraining() : sighting;
    }
}
