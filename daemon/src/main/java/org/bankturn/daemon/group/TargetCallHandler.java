package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.bankturn.codec.DeflateCodec;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.ColdTimes;
import org.bankturn.registry.Evidence;
import org.bankturn.registry.TargetRecord;
import org.bankturn.registry.TargetRegistry;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.Service;
import org.bankturn.service.UnreadableDocumentException;

/**
 * Handles the heartbeats of targets and their requests to be removed.
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
    private final ColdTimes coldTimes = ColdTimes.empty();
    private Map<String, Service> services = Map.of();
    private long parsedVersion;

    /**
     * Returns a handler, not null.
     *
     * @param reactor its reactor, not null
     * @param member the local member of the group, not null
     * @param watch the liveness monitor, not null
     * @param addresses resolves address conflicts, not null
     * @param format parses operators' documents, not null
     * @param isFresh returns true if the member recently had contact to a majority, not null
     * @param change submits a command to the group, not null
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

    /** Handles a heartbeat; one of an incarnation that has left is acknowledged without effect. */
    Promise<ControlAnswer> heartbeat(TargetSighting sighting) {
        if (!isFresh.getAsBoolean()) {
            return Promise.of(new ControlAnswer.Unavailable("no contact to a majority"));
        }
        watch.recordHeartbeat(sighting.id());
        return ReactorPromises.of(reactor, member.query(state -> Registration.of(state.registry(), sighting)))
                .then(registration -> {
                    TargetSighting toRecord = coldTimes.toRecord(sighting, registration.sighting());
                    return record(toRecord, registration.status()).whenComplete((answer, failure) -> {
                        if (!(answer instanceof ControlAnswer.Accepted)) {
                            coldTimes.forget(sighting.id());
                        }
                    });
                });
    }

    private Promise<ControlAnswer> record(TargetSighting sighting, RegistrationStatus status) {
        return switch (status) {
            case LEFT -> Promise.of(new ControlAnswer.Accepted());
            case RELAY -> record(sighting, Evidence.ARRIVAL);
            case UNDISPUTED -> record(sighting, Evidence.UNDISPUTED);
            case DISPUTED -> recordIfOwner(sighting);
        };
    }

    /** What is registered of the incarnation that sent a heartbeat; the sighting is null if it is not registered. */
    private record Registration(RegistrationStatus status, TargetSighting sighting) {
        private static Registration of(TargetRegistry registry, TargetSighting heartbeat) {
            return new Registration(
                    registrationStatus(registry, heartbeat),
                    registry.find(heartbeat.id()).map(TargetRecord::sighting).orElse(null));
        }
    }

    /** The registration status of the incarnation that sent a heartbeat. */
    private enum RegistrationStatus {
        LEFT,
        /** A relay; it has a new name at each start, so an address conflict between its incarnations is harmless. */
        RELAY,
        DISPUTED,
        UNDISPUTED
    }

    private static RegistrationStatus registrationStatus(TargetRegistry registry, TargetSighting sighting) {
        if (registry.hasLeft(sighting.id())) {
            return RegistrationStatus.LEFT;
        }
        if (sighting.service().equals(WeightsRelay.SERVICE)) {
            return RegistrationStatus.RELAY;
        }
        return registry.hasAddressConflict(sighting) ? RegistrationStatus.DISPUTED : RegistrationStatus.UNDISPUTED;
    }

    private Promise<ControlAnswer> record(TargetSighting sighting, Evidence evidence) {
        return change.apply(new PublicationCommand.RecordTarget(sighting, evidence));
    }

    private Promise<ControlAnswer> recordIfOwner(TargetSighting sighting) {
        return healthPath(sighting.service())
                .then(path -> addresses.ownsAddress(sighting, path))
                .then(owner -> owner ? record(sighting, Evidence.SETTLED) : Promise.of(new ControlAnswer.Accepted()));
    }

    private Promise<Optional<String>> healthPath(String service) {
        return ReactorPromises.of(
                        reactor, member.query(state -> new Accepted(state.documentVersion(), state.document())))
                .map(accepted ->
                        Optional.ofNullable(services(accepted).get(service)).map(Service::healthPath));
    }

    /** Parses each document version once, since documents may be large and many targets may start at the same time. */
    private Map<String, Service> services(Accepted accepted) {
        if (accepted.deflated() != null && accepted.version() != parsedVersion) {
            try {
                services =
                        format.read(DeflateCodec.inflate(accepted.deflated())).services();
                parsedVersion = accepted.version();
            } catch (UnreadableDocumentException e) {
                throw new IllegalStateException("cannot parse accepted document: " + e.getMessage(), e);
            }
        }
        return services;
    }

    /** The current document, deflated; null if there is none. */
    private record Accepted(long version, byte[] deflated) {}

    /** Removes an incarnation; one that is not registered yet is recorded as left, so that it is not registered later. */
    Promise<ControlAnswer> leave(ControlCall.Leave leave) {
        if (leave.bornMillis() != 0) {
            String incarnation = TargetSighting.incarnation(leave.name(), leave.bornMillis());
            return change.apply(
                    new PublicationCommand.RemoveTarget(incarnation, leave.name(), leave.bornMillis(), true));
        }
        return ReactorPromises.of(
                        reactor, member.query(state -> state.registry().findByName(leave.name())))
                .map(known -> known.map(target -> target.sighting().id()).orElse(leave.name()))
                .then(incarnation -> change.apply(new PublicationCommand.RemoveTarget(incarnation, true)));
    }
}
