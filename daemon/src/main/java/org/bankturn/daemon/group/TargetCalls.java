package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;

/**
 * What targets say to a control process: that they are there, and that they leave.
 *
 * <p>TargetCalls is confined to its reactor's thread.
 */
final class TargetCalls {
    private final Eventloop reactor;
    private final GroupMember member;
    private final TargetWatch watch;
    private final BooleanSupplier isFresh;
    private final Function<PublicationCommand, Promise<ControlAnswer>> change;

    /**
     * Returns one, not null.
     *
     * @param reactor its reactor, not null
     * @param member the member of the group, not null
     * @param watch notices targets that fall silent, not null
     * @param isFresh tells whether the member was in touch with a majority of late, not null
     * @param change has the group commit a command, not null
     */
    static TargetCalls of(
            Eventloop reactor,
            GroupMember member,
            TargetWatch watch,
            BooleanSupplier isFresh,
            Function<PublicationCommand, Promise<ControlAnswer>> change) {
        return new TargetCalls(reactor, member, watch, isFresh, change);
    }

    private TargetCalls(
            Eventloop reactor,
            GroupMember member,
            TargetWatch watch,
            BooleanSupplier isFresh,
            Function<PublicationCommand, Promise<ControlAnswer>> change) {
        this.reactor = reactor;
        this.member = member;
        this.watch = watch;
        this.isFresh = isFresh;
        this.change = change;
    }

    /** Takes in a heartbeat; one of a start that has left is acknowledged without effect. */
    Promise<ControlAnswer> heartbeat(TargetSighting sighting) {
        if (!isFresh.getAsBoolean()) {
            return Promise.of(new ControlAnswer.Unavailable("not in touch with a majority"));
        }
        watch.heard(sighting.id());
        return ReactorPromises.of(
                        reactor, member.query(state -> state.registry().hasLeft(sighting.id())))
                .then(left -> left
                        ? Promise.of(new ControlAnswer.Accepted())
                        : change.apply(new PublicationCommand.RecordTarget(sighting)));
    }

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
