package org.bankturn.daemon.group;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.RaftSettings;
import org.bankturn.agreement.Snapshot;
import org.bankturn.codec.DeflateCodec;
import org.bankturn.daemon.group.GroupMember.Outcome;
import org.bankturn.daemon.http.HealthDialect;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.HttpListener;
import org.bankturn.daemon.http.ServerExchange;
import org.bankturn.daemon.http.ServerLimits;
import org.bankturn.daemon.member.ReplicatedStateMachine;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLine;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.observe.SilentConnectionReporter;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.UnreadableDocumentException;
import org.bankturn.storage.FileSystemDirectory;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;

/**
 * A control process: submits operators' changes and targets' heartbeats to the control group and publishes the result.
 *
 * <p>A change is acknowledged only after a majority has synced it. Network I/O runs on the reactor, the group member on its
 * own thread.
 */
public final class GroupNode {
    /** An election follows five missed heartbeats. */
    private static final long ELECTION_TIMEOUT_MILLIS = 500;

    private static final long HEARTBEAT_MILLIS = 100;

    private static final int MAX_BATCH_ENTRIES = 64;

    private static final long FIRST_INCARNATION = 1;

    /** Nine leader heartbeats. A new leader may be elected sooner, so document reads are confirmed separately. */
    private static final long FRESHNESS_MILLIS = 900;

    /** The time limit for the leader to commit a forwarded command. */
    static final long FORWARD_TIMEOUT_MILLIS = 2_000;

    private final GroupSettings settings;
    private final RaftSettings raftSettings;
    private final Supplier<List<Address>> seeds;
    private final ControlDialect dialect;
    private final DocumentFormat format;
    private final Clock clock;
    private final DecisionLog log;
    private final ServingMetrics metrics;
    private final Eventloop reactor;
    private final NodeClients clients;
    private final NodeServer nodeServer;
    private final HttpListener listener;
    private final GroupMember member;
    private final Watchers watchers;
    private final DocumentReads reads;
    private final TargetLivenessMonitor targetWatch;
    private final TargetCallHandler targetCalls;
    private final EvacuationOrders evacuations;
    private final EvacuationReporter evacuationReporter;
    private final GroupShutdown shutdown;

    /**
     * Returns a control process that is not started yet, not null.
     *
     * @param settings the settings of the process, not null
     * @param seeds supplies the currently configured node addresses, not null
     * @param dialect the HTTP format of operators and targets, not null
     * @param health the HTTP format of health requests to targets, not null
     * @param format parses operators' documents, not null
     * @param reactor the reactor, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param metrics the metrics, not null
     */
    public static GroupNode of(
            GroupSettings settings,
            Supplier<List<Address>> seeds,
            ControlDialect dialect,
            HealthDialect health,
            DocumentFormat format,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        return new GroupNode(settings, seeds, dialect, health, format, reactor, clock, log, metrics);
    }

    private GroupNode(
            GroupSettings settings,
            Supplier<List<Address>> seeds,
            ControlDialect dialect,
            HealthDialect health,
            DocumentFormat format,
            Eventloop reactor,
            Clock clock,
            DecisionLog log,
            ServingMetrics metrics) {
        this.settings = settings;
        this.raftSettings = new RaftSettings(
                ELECTION_TIMEOUT_MILLIS,
                HEARTBEAT_MILLIS,
                MAX_BATCH_ENTRIES,
                RaftSettings.minMembersFor(settings.toleratedLosses()));
        this.seeds = seeds;
        this.dialect = dialect;
        this.format = format;
        this.reactor = reactor;
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
        this.watchers = new Watchers(reactor, clock);
        this.evacuationReporter = EvacuationReporter.of(log, metrics);
        SilentConnectionReporter connectionReporter = SilentConnectionReporter.of(log, metrics);
        this.clients = NodeClients.on(reactor, clock, connectionReporter);
        this.nodeServer = NodeServer.create(reactor, clock, settings.listenAddress(), this::answer, connectionReporter);
        this.listener = HttpListener.create(
                reactor, clock, settings.callAddress().toSocketAddress(), () -> ServerLimits.CONTROL, this::handle);
        QuorumContactMonitor contactMonitor =
                QuorumContactMonitor.of(raftSettings, clock, log, this::replaceSilentConnections);
        this.member = GroupMember.of(
                new GroupMember.Wiring(
                        this::openFolder,
                        (to, message) ->
                                clients.tell(Address.parse(to.address()), new NodeRequest.DeliverRaftMessage(message)),
                        this::contacts,
                        this::applied,
                        node -> {
                            contactMonitor.observe(node);
                            recordGroup(node);
                        },
                        log),
                clock);
        this.shutdown = new GroupShutdown(reactor, clock, listener, member, log);
        this.reads = DocumentReads.of(reactor, clients, member);
        this.targetWatch = TargetLivenessMonitor.of(reactor, clients, member, log, clock, settings.heartbeatMillis());
        AddressConflictResolver addresses =
                AddressConflictResolver.of(reactor, clock, health, log, settings.heartbeatMillis());
        this.targetCalls =
                TargetCallHandler.of(reactor, member, targetWatch, addresses, format, this::isFresh, this::change);
        this.evacuations = EvacuationOrders.of(reactor, member, settings.regions(), this::submit);
    }

    /** Starts the process; call on the reactor's thread. */
    public void start() throws IOException {
        nodeServer.listen();
        listener.listen();
        member.start();
        targetWatch.start();
    }

    /**
     * Transfers leadership and refuses calls that come late; the promise completes when every call has its answer or the time
     * is up. Call on the reactor's thread, before {@link #stop()}.
     */
    public Promise<Void> drain(long gracePeriodMillis) {
        return shutdown.start(gracePeriodMillis);
    }

    /** Transfers leadership and stops the member. Do not call on the reactor's thread. */
    public void stop() {
        member.stop();
    }

    /** Closes the listeners and connections; call on the reactor's thread, after {@link #stop()}. */
    public void close() {
        listener.close();
        nodeServer.close();
        clients.close();
    }

    // ---- member recovery and group formation

    private ReplicatedStateMachine.Recovered openFolder() throws IOException {
        FileSystemDirectory device = FileSystemDirectory.open(Path.of(settings.dataFolder()));
        Optional<Long> storedIncarnation = RaftStorage.readIncarnation(device);
        RaftStorage storage = storedIncarnation.isPresent() ? RaftStorage.recover(device) : initializeFolder(device);
        long incarnation = RaftStorage.readIncarnation(device).orElseThrow();
        RaftNode agreement = RaftNode.recover(
                member(settings.nodeAddress(), incarnation),
                storage.stored(),
                raftSettings,
                clock,
                RandomSource.XO_RO_SHI_RO_128_PP.create(),
                joining -> true);
        return new ReplicatedStateMachine.Recovered(agreement, storage);
    }

    /** Initializes an empty folder, with the seeds as members of a new group or without members to join a group. */
    private RaftStorage initializeFolder(FileSystemDirectory device) throws IOException {
        boolean bootstraps = settings.formsGroup() && settings.seeds().contains(settings.nodeAddress());
        if (bootstraps) {
            List<Member> initialMembers = settings.seeds().stream()
                    .map(seed -> member(seed, FIRST_INCARNATION))
                    .sorted()
                    .toList();
            return RaftStorage.create(device, FIRST_INCARNATION, Snapshot.initial(initialMembers));
        }
        long incarnation = Math.max(
                FIRST_INCARNATION + 1, RandomSource.XO_RO_SHI_RO_128_PP.create().nextLong(Long.MAX_VALUE));
        return RaftStorage.create(device, incarnation, Snapshot.initial(List.of()));
    }

    private static Member member(Address address, long incarnation) {
        return new Member(address.toString(), incarnation, address.toString());
    }

    private List<Member> contacts() {
        Set<Member> contacts = new LinkedHashSet<>(member.view().members());
        for (Address seed : seeds.get()) {
            contacts.add(member(seed, 0));
        }
        contacts.removeIf(
                contact -> contact.address().equals(settings.nodeAddress().toString()));
        return List.copyOf(contacts);
    }

    private void applied(PublicationState state) {
        long index = state.index();
        evacuationReporter.update(state.evacuations());
        reactor.execute(() -> watchers.wake(index));
    }

    private void recordGroup(RaftNode node) {
        metrics.setGroupMembers(node.members().size());
        if (node.isEstablishedLeader()) {
            metrics.setGroupHealth(node.silentMembers().size(), node.tolerableLosses());
        } else {
            metrics.clearGroupHealth();
        }
    }

    private void replaceSilentConnections(long heardMillis) {
        reactor.execute(() -> clients.reusePolicy().timedOut(heardMillis));
    }

    // ---- requests of operators and targets

    private void handle(ServerExchange exchange) {
        ControlCall call = ownCall(exchange.head()).orElseGet(() -> dialect.read(exchange.head(), exchange.body()));
        if (shutdown.isRefusing()) {
            answer(call, new ControlAnswer.Unavailable("shutting down"), exchange);
            return;
        }
        shutdown.callStarted(
                exchange,
                () -> answer(call, new ControlAnswer.Unavailable("shutting down, the outcome is unknown"), exchange));
        dispatch(call, exchange).whenComplete((answer, failure) -> {
            ControlAnswer sent =
                    failure == null ? answer : new ControlAnswer.Unavailable(String.valueOf(failure.getMessage()));
            answer(call, sent, exchange);
        });
    }

    private void answer(ControlCall call, ControlAnswer answer, ServerExchange exchange) {
        shutdown.callEnded(exchange);
        record(call, answer, clock.millis() - exchange.receivedMillis());
        exchange.respond(dialect.head(answer), dialect.body(answer));
    }

    /** Parses the calls that are served in addition to those of the platform. */
    private static Optional<ControlCall> ownCall(HttpHead head) {
        return SuspectCalls.read(head).or(() -> EvacuationCalls.read(head)).or(() -> MemberListing.read(head));
    }

    private void record(ControlCall call, ControlAnswer answer, long tookMillis) {
        String name = call.getClass().getSimpleName();
        metrics.setLeader(member.view().leads());
        metrics.controlCall(name, answer.getClass().getSimpleName(), tookMillis);
        boolean unlogged = answer instanceof ControlAnswer.Accepted && call instanceof ControlCall.Heartbeat;
        if (unlogged) {
            return;
        }
        DecisionLine line = log.line(DecisionKind.CHANGE)
                .with(DecisionField.CALL, name)
                .with(DecisionField.ANSWER, answer instanceof ControlAnswer.Document ? "Document" : answer);
        if (call instanceof ControlCall.Evacuate order) {
            line.with(DecisionField.HALL, order.hall()).with(DecisionField.EVENT, order.start() ? "start" : "end");
        }
        line.write();
    }

    private Promise<ControlAnswer> dispatch(ControlCall call, ServerExchange exchange) {
        if (call instanceof ControlCall.Publish publish) {
            return publish(publish.document());
        }
        if (call instanceof ControlCall.Read) {
            return reads.read();
        }
        if (call instanceof ControlCall.NameWeights named) {
            return change(new PublicationCommand.NameWeights(named.model(), named.version()));
        }
        if (call instanceof ControlCall.Heartbeat heartbeat) {
            return targetCalls.heartbeat(heartbeat.sighting());
        }
        if (call instanceof ControlCall.Leave leave) {
            return targetCalls.leave(leave);
        }
        if (call instanceof ControlCall.ListSuspects) {
            return ask(member.query(SuspectCalls::list)).map(ControlAnswer.Document::new);
        }
        if (call instanceof ControlCall.ClearSuspect clear) {
            return change(new PublicationCommand.RecordOutcomes(List.of(), List.of(clear.request()), List.of()));
        }
        if (call instanceof ControlCall.ClearSuspectPart clear) {
            return change(new PublicationCommand.ClearPart(clear.part()));
        }
        if (call instanceof ControlCall.Evacuate order) {
            return evacuations.order(order, exchange::isFinished);
        }
        if (call instanceof ControlCall.ListEvacuations) {
            return evacuations.list(isFresh());
        }
        if (call instanceof ControlCall.ListMembers) {
            return ask(member.inspect(MemberListing::list)).map(ControlAnswer.Document::new);
        }
        if (call instanceof ControlCall.Malformed malformed) {
            return Promise.of(new ControlAnswer.Refused(malformed.reason()));
        }
        return Promise.of(new ControlAnswer.NotFound());
    }

    private Promise<ControlAnswer> publish(byte[] document) {
        ServingConfiguration configuration;
        try {
            configuration = format.read(document);
        } catch (UnreadableDocumentException e) {
            return refuseDocument(ServingMetrics.DOCUMENT_UNREADABLE, e.getMessage());
        }
        if (!configuration.problems().isEmpty()) {
            return refuseDocument(
                    ServingMetrics.DOCUMENT_INCONSISTENT,
                    configuration.problems().get(0));
        }
        Optional<String> unknown = settings.regions().unknownRegion(configuration);
        if (unknown.isPresent()) {
            return refuseDocument(
                    ServingMetrics.DOCUMENT_UNKNOWN_REGION, "no data hall is in the allowed region " + unknown.get());
        }
        return change(new PublicationCommand.PutDocument(configuration.version(), DeflateCodec.deflate(document)));
    }

    private Promise<ControlAnswer> refuseDocument(String cause, String reason) {
        metrics.documentRefused(cause);
        return Promise.of(new ControlAnswer.Refused(reason));
    }

    /** Submits a command; one that the local state already reflects is accepted without a submission. */
    private Promise<ControlAnswer> change(PublicationCommand command) {
        return ask(member.query(state -> state.wouldChange(command))).then(needed -> {
            if (!needed && member.view().isFresh(clock.millis(), FRESHNESS_MILLIS)) {
                return Promise.of(new ControlAnswer.Accepted());
            }
            return submit(command).map(GroupNode::answerTo);
        });
    }

    static ControlAnswer answerTo(Outcome outcome) {
        return outcome == Outcome.COMMITTED
                ? new ControlAnswer.Accepted()
                : new ControlAnswer.Unavailable(outcome.name());
    }

    private Promise<Outcome> submit(PublicationCommand command) {
        return ask(member.submit(command)).then(outcome -> {
            GroupView view = member.view();
            boolean forward = outcome == Outcome.NOT_LEADER && view.leader() != null && !view.leads();
            if (!forward) {
                return Promise.of(outcome);
            }
            return clients.ask(
                            Address.parse(view.leader().address()),
                            new NodeRequest.SubmitPublication(command),
                            FORWARD_TIMEOUT_MILLIS)
                    .map(reply ->
                            reply instanceof NodeReply.PublicationOutcome done ? done.outcome() : Outcome.UNKNOWN);
        });
    }

    // ---- requests of other processes

    private Promise<NodeReply> answer(NodeRequest request) {
        if (request instanceof NodeRequest.DeliverRaftMessage agree) {
            member.receive(agree.message());
            return Promise.of(new NodeReply.Acknowledged());
        }
        if (request instanceof NodeRequest.WatchPublication watch) {
            return watch(watch);
        }
        return shutdown.isRefusing() ? refuse(request) : shutdown.track(serve(request));
    }

    /** Replies to a request that was not taken, since the member is about to stop. */
    private static Promise<NodeReply> refuse(NodeRequest request) {
        return Promise.of(
                request instanceof NodeRequest.SubmitPublication
                        ? new NodeReply.PublicationOutcome(Outcome.NOT_LEADER)
                        : new NodeReply.Failed("shutting down"));
    }

    private Promise<NodeReply> serve(NodeRequest request) {
        if (request instanceof NodeRequest.SubmitPublication submitted) {
            return ask(member.submit(submitted.command())).map(NodeReply.PublicationOutcome::new);
        }
        if (request instanceof NodeRequest.ProposePublication proposed) {
            return change(proposed.command()).map(GroupNode::replyTo);
        }
        if (request instanceof NodeRequest.ReadDocument read) {
            return reads.confirmAsLeader(read.haveVersion()).map(document -> document);
        }
        if (request instanceof NodeRequest.Announce announced) {
            return targetCalls.heartbeat(announced.sighting()).map(GroupNode::replyTo);
        }
        if (request instanceof NodeRequest.ReportHeartbeats noted) {
            targetWatch.recordRemoteHeartbeats(noted.targets());
            return Promise.of(new NodeReply.Acknowledged());
        }
        return Promise.of(new NodeReply.Failed("not supported by a control process"));
    }

    private static NodeReply replyTo(ControlAnswer answer) {
        return answer instanceof ControlAnswer.Accepted
                ? new NodeReply.Acknowledged()
                : new NodeReply.Failed(answer.toString());
    }

    private Promise<NodeReply> watch(NodeRequest.WatchPublication watch) {
        boolean freshAtRequest = isFresh();
        return ask(member.query(PublicationState::index)).then(index -> {
            if (index <= watch.haveIndex()) {
                return awaitNewer(watch, freshAtRequest);
            }
            // a process without any state must not wait for the next round
            return watch.haveIndex() == 0 ? watched(0, false) : awaitNextRound(watch, index);
        });
    }

    private Promise<NodeReply> awaitNextRound(NodeRequest.WatchPublication watch, long index) {
        watchers.wake(index);
        return watchers.await(watch.haveIndex(), watch.waitMillis()).then(newer -> watched(watch.haveIndex(), false));
    }

    private Promise<NodeReply> awaitNewer(NodeRequest.WatchPublication watch, boolean freshAtRequest) {
        return watchers.await(watch.haveIndex(), watch.waitMillis())
                .then(newer ->
                        newer ? watched(watch.haveIndex(), freshAtRequest) : Promise.of(reply(null, freshAtRequest)));
    }

    private boolean isFresh() {
        return member.view().isFresh(clock.millis(), FRESHNESS_MILLIS);
    }

    private Promise<NodeReply> watched(long haveIndex, boolean waited) {
        return ask(member.query(state -> state.updateSince(haveIndex))).map(update -> reply(update, waited));
    }

    private NodeReply reply(PublicationUpdate update, boolean waited) {
        GroupView view = member.view();
        return new NodeReply.WatchedPublication(
                update,
                isFresh(),
                waited,
                settings.dataHall(),
                view.members().stream().map(Member::address).toList(),
                watchers.size());
    }

    private <T> Promise<T> ask(CompletableFuture<T> future) {
        return ReactorPromises.of(reactor, future);
    }
}
