package org.bankturn.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The targets that are there, and those that lately left.
 *
 * <p>A target that said it is leaving never becomes ready again under the same incarnation, and one that left is never
 * listed again. A target may start again under its name: what the later start says counts, whatever the sequence, and what
 * the former said counts no more.
 *
 * <p>One target lives at an address. Where incarnations of different names announce the same one, nothing that they say
 * tells which is the later, and a word of the former may have been delayed by a cut; {@link Evidence} says what was found out
 * before such a word is recorded.
 *
 * <p>All calls carry the index of the log entry that causes them, so that members that apply the same entries hold the same
 * registry.
 *
 * <p>TargetRegistry is mutable and not thread-safe.
 */
public final class TargetRegistry {
    private static final int REMEMBERED_DEPARTURES = 512;

    private final Map<String, TargetRecord> targets = new LinkedHashMap<>();
    private final Map<String, Departure> departures = new LinkedHashMap<>();
    private long forgottenUntil;

    /**
     * A target that is gone.
     *
     * @param id its incarnation, not null
     * @param name what it called itself; null if an earlier version stored it, whose incarnations are names
     * @param bornMillis when it started, 0 if not known
     * @param lastSequence its newest heartbeat
     * @param index the log entry that removed it
     * @param byItself true if the target said so itself and may not come back
     * @param address where it was reached; null if it was never listed, or an earlier version stored it
     */
    public record Departure(
            String id, String name, long bornMillis, long lastSequence, long index, boolean byItself, String address) {
        private boolean isOfLaterStartThan(TargetSighting sighting) {
            return sighting.name().equals(name) && bornMillis > sighting.bornMillis();
        }

        private boolean isFormerStartOf(TargetSighting sighting) {
            return sighting.name().equals(name) && bornMillis < sighting.bornMillis();
        }
    }

    /**
     * What a registry holds, for a snapshot.
     *
     * @param targets the targets, not null
     * @param departures those that lately left, not null
     * @param forgottenUntil the newest log entry whose departures may no longer be listed
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

    /** Returns what this registry holds, not null. */
    public Content content() {
        return new Content(List.copyOf(targets.values()), List.copyOf(departures.values()), forgottenUntil);
    }

    /** Returns the newest log entry whose departures may no longer be listed, 0 if all are. */
    public long forgottenUntil() {
        return forgottenUntil;
    }

    /** Returns the target of that incarnation, empty if it is not there. */
    public Optional<TargetRecord> find(String id) {
        return Optional.ofNullable(targets.get(id));
    }

    /** Returns the newest start of the target that calls itself so, empty if none is there. */
    public Optional<TargetRecord> findByName(String name) {
        return targets.values().stream()
                .filter(each -> each.sighting().name().equals(name))
                .max(Comparator.comparingLong(each -> each.sighting().bornMillis()));
    }

    /** Returns all targets, not null. */
    public Collection<TargetRecord> all() {
        return List.copyOf(targets.values());
    }

    /** Returns true if the target has left for good. */
    public boolean hasLeft(String id) {
        Departure departure = departures.get(id);
        return departure != null && departure.byItself();
    }

    /** Returns true if recording the sighting, as it came, would change what is known. */
    public boolean wouldChange(TargetSighting sighting) {
        return wouldChange(sighting, Evidence.ARRIVAL);
    }

    /** Returns true if recording the sighting would change what is known. */
    public boolean wouldChange(TargetSighting sighting, Evidence evidence) {
        TargetRecord known = targets.get(sighting.id());
        if (known != null) {
            return sighting.sequence() > known.sighting().sequence()
                    && !known.sighting().hasSameStateAs(stickyDraining(known, sighting));
        }
        if (isOfFormerStart(sighting) || !evidence.suffices(hasAddressConflict(sighting))) {
            return false;
        }
        Departure departure = departures.get(sighting.id());
        if (departure == null) {
            return true;
        }
        boolean mayReturn = !departure.byItself() && (evidence == Evidence.SETTLED || !isSucceeded(sighting));
        return mayReturn && sighting.sequence() > departure.lastSequence();
    }

    /**
     * Returns true if another start is, or was later, at the address of one that is not listed, so that the sighting alone
     * does not show which of them is there now.
     */
    public boolean hasAddressConflict(TargetSighting sighting) {
        if (targets.containsKey(sighting.id()) || hasLeft(sighting.id()) || isOfFormerStart(sighting)) {
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
                        .filter(each -> !each.isFormerStartOf(sighting))
                        .anyMatch(each -> sighting.address().equals(each.address()));
    }

    /** Returns true if the target has started again since it said that. */
    private boolean isOfFormerStart(TargetSighting sighting) {
        boolean present =
                targets.values().stream().anyMatch(each -> each.sighting().isLaterStartOf(sighting));
        return present || departures.values().stream().anyMatch(each -> each.isOfLaterStartThan(sighting));
    }

    /** Returns true if another incarnation lives at the address; a heartbeat that a cut delayed must not displace it. */
    private boolean isSucceeded(TargetSighting departed) {
        return targets.values().stream()
                .anyMatch(each -> each.sighting().address().equals(departed.address()));
    }

    /**
     * Takes in a sighting as it came.
     *
     * @param index the log entry
     * @param sighting the sighting, not null
     */
    public void record(long index, TargetSighting sighting) {
        record(index, sighting, Evidence.ARRIVAL);
    }

    /**
     * Takes in a sighting.
     *
     * @param index the log entry
     * @param sighting the sighting, not null
     * @param evidence what is known of the start beside its word, not null
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
        targets.put(sighting.id(), new TargetRecord(known == null ? sighting : stickyDraining(known, sighting), index));
    }

    /**
     * Takes a target off the list.
     *
     * @param index the log entry
     * @param id the target's incarnation, not null
     * @param byItself true if the target said so itself
     */
    public void remove(long index, String id, boolean byItself) {
        remove(index, id, id, 0, byItself);
    }

    /**
     * Takes a start of a target off the list, listed or not, and the former starts of it that still are.
     *
     * @param index the log entry
     * @param id the target's incarnation, not null
     * @param name what it calls itself, not null
     * @param bornMillis when it started, 0 if that is not known
     * @param byItself true if the target said so itself
     */
    public void remove(long index, String id, String name, long bornMillis, boolean byItself) {
        // a former start would stay listed, and its later words that it drains would count for nothing
        List<String> former = targets.values().stream()
                .map(TargetRecord::sighting)
                .filter(each -> each.name().equals(name) && each.bornMillis() < bornMillis)
                .map(TargetSighting::id)
                .toList();
        former.forEach(each -> departOne(index, each, each, 0, false));
        departOne(index, id, name, bornMillis, byItself);
    }

    private void departOne(long index, String id, String assumedName, long assumedBornMillis, boolean byItself) {
        TargetRecord known = targets.remove(id);
        long last = known == null ? 0 : known.sighting().sequence();
        departures.remove(id);
        String name = known == null ? assumedName : known.sighting().name();
        long bornMillis = known == null ? assumedBornMillis : known.sighting().bornMillis();
        String address = known == null ? null : known.sighting().address();
        departures.put(id, new Departure(id, name, bornMillis, last, index, byItself, address));
        if (departures.size() > REMEMBERED_DEPARTURES) {
            Departure oldest = departures.values().iterator().next();
            departures.remove(oldest.id());
            forgottenUntil = Math.max(forgottenUntil, oldest.index());
        }
    }

    private static TargetSighting stickyDraining(TargetRecord known, TargetSighting sighting) {
        return known.sighting().draining() ? sighting.asDraining() : sighting;
    }
}
