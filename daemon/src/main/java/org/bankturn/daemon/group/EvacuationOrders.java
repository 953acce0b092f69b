package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.service.RegionMap;

/**
 * Handles operators' orders to start or end the evacuation of a data hall.
 *
 * <p>Each order goes through the log, also one for the state that the hall seems to be in: the local state may be out of
 * date, and a copy of an earlier, opposite order may still be on its way. An order is accepted only if it took effect.
 *
 * <p>EvacuationOrders is confined to its reactor's thread.
 */
final class EvacuationOrders {
    private final Eventloop reactor;
    private final GroupMember member;
    private final RegionMap regions;
    private final Function<PublicationCommand, Promise<GroupMember.Outcome>> submit;

    /** What the local member knows about an order's data hall. */
    private record Known(boolean known, long lastOrderIndex) {}

    /**
     * Returns a handler, not null.
     *
     * @param reactor its reactor, not null
     * @param member the local member of the group, not null
     * @param regions the data halls of the settings, not null
     * @param submit submits a command to the leader, not null
     */
    static EvacuationOrders of(
            Eventloop reactor,
            GroupMember member,
            RegionMap regions,
            Function<PublicationCommand, Promise<GroupMember.Outcome>> submit) {
        return new EvacuationOrders(reactor, member, regions, submit);
    }

    private EvacuationOrders(
            Eventloop reactor,
            GroupMember member,
            RegionMap regions,
            Function<PublicationCommand, Promise<GroupMember.Outcome>> submit) {
        this.reactor = reactor;
        this.member = member;
        this.regions = regions;
        this.submit = submit;
    }

    /**
     * Submits an order, compared with the hall's last order in the local state.
     *
     * <p>The index is read when the order arrives and never again for the same order: by the time of a second attempt, the
     * operator may have had a later order acknowledged elsewhere.
     *
     * @param order the order, not null
     * @param abandoned returns true once the operator no longer waits for the answer, not null
     */
    Promise<ControlAnswer> order(ControlCall.Evacuate order, BooleanSupplier abandoned) {
        return ReactorPromises.of(reactor, member.query(state -> known(state, order.hall())))
                .then(known -> {
                    if (!known.known()) {
                        return Promise.of(new ControlAnswer.Refused("unknown data hall " + order.hall()));
                    }
                    if (abandoned.getAsBoolean()) {
                        return Promise.of(new ControlAnswer.Unavailable("operator disconnected"));
                    }
                    return submit.apply(new PublicationCommand.Evacuate(
                                    order.hall(), order.start(), known.lastOrderIndex()))
                            .map(GroupNode::answerTo);
                });
    }

    /** A hall with an earlier order is known, so that an evacuation can end after the hall left the settings. */
    private Known known(PublicationState state, String hall) {
        boolean named = regions.regionByDataHall().isEmpty()
                ? state.registry().all().stream()
                        .anyMatch(target -> target.sighting().dataHall().equals(hall))
                : regions.containsDataHall(hall);
        return new Known(named || state.evacuationOf(hall).isPresent(), state.lastOrderIndex(hall));
    }

    /**
     * Lists the evacuated data halls in the local state.
     *
     * @param fresh true if the member recently had contact to a majority
     */
    Promise<ControlAnswer> list(boolean fresh) {
        return ReactorPromises.of(reactor, member.query(PublicationState::evacuations))
                .map(all -> new ControlAnswer.Document(EvacuationCalls.list(all, fresh)));
    }
}
