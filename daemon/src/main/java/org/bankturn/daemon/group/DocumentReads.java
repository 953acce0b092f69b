package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.bankturn.codec.Deflated;
import org.bankturn.daemon.group.GroupMember.Outcome;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;

/**
 * Reads the operators' document so that nothing that was accepted before the read began is missing.
 *
 * <p>DocumentReads is confined to its reactor's thread.
 */
final class DocumentReads {
    private final Eventloop reactor;
    private final NodeClients clients;
    private final GroupMember member;

    /**
     * Returns the reads of one control process, not null.
     *
     * @param reactor its reactor, not null
     * @param clients asks the leader, not null
     * @param member the group's member here, not null
     */
    static DocumentReads of(Eventloop reactor, NodeClients clients, GroupMember member) {
        return new DocumentReads(reactor, clients, member);
    }

    private DocumentReads(Eventloop reactor, NodeClients clients, GroupMember member) {
        this.reactor = reactor;
        this.clients = clients;
        this.member = member;
    }

    /** Reads for an operator; the leader is asked, and sends the document only if this process holds another. */
    Promise<ControlAnswer> read() {
        return ask(member.query(PublicationState::documentVersion))
                .then(have -> confirmedDocument(have))
                .then(document -> document.deflated() != null
                        ? Promise.of(document)
                        : ask(member.query(state -> new NodeReply.Document(state.documentVersion(), state.document()))))
                .map(document -> document.deflated() == null
                        ? new ControlAnswer.Unavailable("no document yet")
                        : new ControlAnswer.Document(Deflated.inflate(document.deflated())));
    }

    private Promise<NodeReply.Document> confirmedDocument(long haveVersion) {
        GroupView view = member.view();
        if (view.leads()) {
            return confirmAsLeader(haveVersion);
        }
        if (view.leader() == null) {
            return Promise.ofException(new IOException("no leader"));
        }
        return clients.ask(
                        Address.parse(view.leader().address()),
                        new NodeRequest.ReadDocument(haveVersion),
                        GroupNode.FORWARD_TIMEOUT_MILLIS)
                .then(reply -> reply instanceof NodeReply.Document document
                        ? Promise.of(document)
                        : Promise.ofException(new IOException("leader could not confirm")));
    }

    /**
     * Confirms the document if this member leads; fails if it does not.
     *
     * <p>An entry that is committed after the read began proves that this member saw all that was accepted before.
     *
     * @param haveVersion the version that the asker holds
     * @return the document, without its content if the asker holds it
     */
    Promise<NodeReply.Document> confirmAsLeader(long haveVersion) {
        return ask(member.submit(new PublicationCommand.Confirm())).then(outcome -> {
            if (outcome != Outcome.COMMITTED) {
                return Promise.ofException(new IOException("not confirmed: " + outcome));
            }
            return ask(member.query(state -> new NodeReply.Document(
                    state.documentVersion(), state.documentVersion() == haveVersion ? null : state.document())));
        });
    }

    private <T> Promise<T> ask(CompletableFuture<T> future) {
        return ReactorPromises.of(reactor, future);
    }
}
