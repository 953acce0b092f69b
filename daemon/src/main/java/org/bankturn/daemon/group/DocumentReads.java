package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import org.bankturn.codec.DeflateCodec;
import org.bankturn.daemon.group.GroupMember.Outcome;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;

/**
 * Linearizable reads of the operators' document: a read reflects every change accepted before it began.
 *
 * <p>DocumentReads is confined to its reactor's thread.
 */
final class DocumentReads {
    private final Eventloop reactor;
    private final NodeClients clients;
    private final GroupMember member;

    /**
     * Returns a reader for one control process, not null.
     *
     * @param reactor its reactor, not null
     * @param clients connects to the leader, not null
     * @param member the local member of the group, not null
     */
    static DocumentReads of(Eventloop reactor, NodeClients clients, GroupMember member) {
        return new DocumentReads(reactor, clients, member);
    }

    private DocumentReads(Eventloop reactor, NodeClients clients, GroupMember member) {
        this.reactor = reactor;
        this.clients = clients;
        this.member = member;
    }

    /** Reads the document; the leader sends its content only if this process holds another version. */
    Promise<ControlAnswer> read() {
        return ask(member.query(PublicationState::documentVersion))
                .then(have -> confirmedDocument(have))
                .then(document -> document.deflated() != null
                        ? Promise.of(document)
                        : ask(member.query(state -> new NodeReply.Document(state.documentVersion(), state.document()))))
                .map(document -> document.deflated() == null
                        ? new ControlAnswer.Unavailable("no document yet")
                        : new ControlAnswer.Document(DeflateCodec.inflate(document.deflated())));
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
     * Confirms the current document; fails if this member does not lead.
     *
     * <p>Committing an entry after the read began proves that this member has applied all changes accepted before.
     *
     * @param haveVersion the version that the caller holds
     * @return the document, without content if the caller holds the same version
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
