package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.bankturn.codec.Deflated;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetRegistry;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.Service;
import org.bankturn.service.UnreadableDocumentException;

/**
 * What targets say to a control process: that they are there, and that they leave.
 *
 * <p>TargetCallHandler is confined to its reactor's thread.
 */
final class TargetCallHandler {
    private final Eventloop reactor;
    private final GroupMember member;
    private final TargetLivenessMonitor watch;
    private final AddressConflictResolver addresses;
    private final DocumentFormat format;
    private final BooleanSupplier isFresh;
    private final Function<PublicationCommand, Promise<ControlAnswer>> change;
    private Map<String, Service> services = Map.of();
    private long readVersion;

    /**
     * Returns one, not null.
     *
     * @param reactor its reactor, not null
     * @param member the member of the group, not null
     * @param watch notices targets that fall silent, not null
     * @param addresses finds out who is at an address, not null
     * @param format reads operators' documents, not null
     * @param isFresh tells whether the member was in touch with a majority of late, not null
     * @param change has the group commit a command, not null
     */
    static TargetCallHandler of(
            Eventloop reactor,
            GroupMember member,
            TargetLivenessMonitor watch,
            AddressConflictResolver addresses,
            DocumentFormat format,
            BooleanSupplier isFresh,
            Function<PublicationCommand, Promise<ControlAnswer>> change) {
        return new TargetCallHandler(reactor, member, watch, addresses, format, isFresh, change);
    }

    private TargetCallHandler(
            Eventloop reactor,
            GroupMember member,
            TargetLivenessMonitor watch,
            AddressConflictResolver addresses,
            DocumentFormat format,
            BooleanSupplier isFresh,
            Function<PublicationCommand, Promise<ControlAnswer>> change) {
        this.reactor = reactor;
        this.member = member;
        this.watch = watch;
        this.addresses = addresses;
        this.format = format;
        this.isFresh = isFresh;
        this.change = change;
    }

    /** Takes in a heartbeat; one of a start that has left is acknowledged without effect. */
    Promise<ControlAnswer> heartbeat(TargetSighting sighting) {
        if (!isFresh.getAsBoolean()) {
            return Promise.of(new ControlAnswer.Unavailable("not in touch with a majority"));
        }
        watch.recordHeartbeat(sighting.id());
        return ReactorPromises.of(reactor, member.query(state -> standing(state.registry(), sighting)))
                .then(standing -> switch (standing) {
                    case LEFT -> Promise.of(new ControlAnswer.Accepted());
                    case RELAY -> record(sighting, Evidence.ARRIVAL);
                    case UNDISPUTED -> record(sighting, Evidence.UNDISPUTED);
                    case DISPUTED -> settle(sighting);
                });
    }

    /** What the registry says of a start before its word is recorded. */
    private enum Standing {
        LEFT,
        /** Relays choose a name anew at each start; whichever is listed is reached at the same address. */
        RELAY,
        DISPUTED,
        UNDISPUTED
    }

    private static Standing standing(TargetRegistry registry, TargetSighting sighting) {
        if (registry.hasLeft(sighting.id())) {
            return Standing.LEFT;
        }
        if (sighting.service().equals(WeightsRelay.SERVICE)) {
            return Standing.RELAY;
        }
        return registry.isDoubtful(sighting) ? Standing.DISPUTED : Standing.UNDISPUTED;
    }

    private Promise<ControlAnswer> record(TargetSighting sighting, Evidence evidence) {
        return change.apply(new PublicationCommand.RecordTarget(sighting, evidence));
    }

    private Promise<ControlAnswer> settle(TargetSighting sighting) {
        return healthPath(sighting.service())
                .then(path -> addresses.ownsAddress(sighting, path))
                .then(there -> there ? record(sighting, Evidence.SETTLED) : Promise.of(new ControlAnswer.Accepted()));
    }

    private Promise<Optional<String>> healthPath(String service) {
        return ReactorPromises.of(
                        reactor, member.query(state -> new Accepted(state.documentVersion(), state.document())))
                .map(accepted ->
                        Optional.ofNullable(servicesIn(accepted).get(service)).map(Service::healthPath));
    }

    /** Reads a document once: many targets start at the same moment, and a document may be large. */
    private Map<String, Service> servicesIn(Accepted accepted) {
        if (accepted.deflated() != null && accepted.version() != readVersion) {
            try {
                services = format.read(Deflated.inflate(accepted.deflated())).services();
                readVersion = accepted.version();
            } catch (UnreadableDocumentException e) {
                throw new IllegalStateException("an accepted document cannot be read: " + e.getMessage(), e);
            }
        }
        return services;
    }

    /** The document in force, deflated; null if there is none. */
    private record Accepted(long version, byte[] deflated) {}

    /** Takes off the start of the target that is meant; one that is not known here yet must not be listed later. */
    Promise<ControlAnswer> leave(ControlCall.Leave leave) {
        if (leave.bornMillis() != 0) {
            String incarnation = TargetSighting.incarnation(leave.name(), leave.bornMillis());
            return change.apply(
                    new PublicationCommand.RemoveTarget(incarnation, leave.name(), leave.bornMillis(), true));
        }
        return ReactorPromises.of(
                        reactor, member.query(state -> state.registry().findNamed(leave.name())))
                .map(known -> known.map(target -> target.sighting().id()).orElse(leave.name()))
                .then(incarnation -> change.apply(new PublicationCommand.RemoveTarget(incarnation, true)));
    }
}
