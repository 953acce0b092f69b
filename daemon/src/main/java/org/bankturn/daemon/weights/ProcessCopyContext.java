package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.observe.SilentConnectionReporter;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceRouting;

/** The copy context of a daemon process: calls to the engine, the origin and neighbours, and the current routing. */
final class ProcessCopyContext implements CopyContext {
    private static final long ENGINE_TIMEOUT_MILLIS = 1_500;
    private static final long ORIGIN_TIMEOUT_MILLIS = 2_500;
    private static final long ORIGIN_CONNECT_TIMEOUT_MILLIS = 300;
    private static final int MAX_ORIGIN_CALLS = 2;
    private static final long NEIGHBOUR_MARGIN_MILLIS = 400;
    private static final long TRANSFER_TIMEOUT_MILLIS = 2_500;
    private static final byte[] EMPTY_BODY = new byte[0];

    private final WeightsDependencies dependencies;
    private final Participant participant;
    private final PooledHttpClient calls;
    private PieceRouting routing;
    private int commandsInFlight;
    private long routingIndex;
    private int routingVersion;

    /** The behaviour that differs between a box with an engine and a relay. */
    interface Participant {
        /** Returns the processes that currently take part. */
        WeightsPeers peers();

        /** Returns the index of the current publication, which rises with each change. */
        long index();

        /** Returns how many processes share the origin's connections. */
        int originSharers();

        /** Returns the current routing for a version. */
        PieceRouting routing(int version);

        /** Returns true if the routing has this process fetch a piece without a request for it. */
        boolean shouldFetch(PieceRouting plan, int piece);

        /** Returns true if an engine on this box holds weights, so that its requests share the link. */
        boolean engineServes();

        /** Returns the address of the engine on this box, empty if there is none. */
        Optional<Address> engine();
    }

    ProcessCopyContext(WeightsDependencies dependencies, Participant participant) {
        this.dependencies = dependencies;
        this.participant = participant;
        this.calls = PooledHttpClient.on(
                dependencies.reactor(),
                dependencies.clock(),
                SilentConnectionReporter.forPeer(
                        ServingMetrics.PEER_TARGET, dependencies.log(), dependencies.metrics()));
    }

    @Override
    public Eventloop reactor() {
        return dependencies.reactor();
    }

    @Override
    public Clock clock() {
        return dependencies.clock();
    }

    @Override
    public DecisionLog log() {
        return dependencies.log();
    }

    @Override
    public ServingMetrics metrics() {
        return dependencies.metrics();
    }

    @Override
    public WeightsDialect dialect() {
        return dependencies.dialect();
    }

    @Override
    public boolean engineServes() {
        return participant.engineServes();
    }

    @Override
    public boolean shouldFetch(int version, int piece) {
        return participant.shouldFetch(routing(version), piece);
    }

    @Override
    public PieceRouting routing(int version) {
        if (routing == null || routingIndex != participant.index() || routingVersion != version) {
            routing = participant.routing(version);
            routingIndex = participant.index();
            routingVersion = version;
        }
        return routing;
    }

    @Override
    public Promise<PooledHttpClient.Response> callEngine(HttpHead head, byte[] body) {
        return withEngine(engine -> {
            commandsInFlight++;
            return calls.call(engine, head, body, ENGINE_TIMEOUT_MILLIS)
                    .whenComplete((answer, failure) -> commandsInFlight--);
        });
    }

    @Override
    public int commandsInFlight() {
        return commandsInFlight;
    }

    @Override
    public Promise<PooledHttpClient.Response> queryEngine(HttpHead head) {
        return withEngine(engine -> calls.callIdempotent(engine, head, ENGINE_TIMEOUT_MILLIS));
    }

    private Promise<PooledHttpClient.Response> withEngine(
            Function<InetSocketAddress, Promise<PooledHttpClient.Response>> call) {
        return participant
                .engine()
                .map(engine -> requireSuccess(call.apply(engine.toSocketAddress())))
                .orElseGet(() -> Promise.ofException(new IOException("this box has no engine")));
    }

    @Override
    public int maxOriginCalls() {
        int share = participant.peers().originConnections() / Math.max(1, participant.originSharers());
        return Math.max(1, Math.min(MAX_ORIGIN_CALLS, share));
    }

    @Override
    public Promise<PooledHttpClient.Response> callOrigin(HttpHead head) {
        Optional<Service> origin = participant.peers().origin();
        if (origin.isEmpty()) {
            return Promise.ofException(new IOException("no weights origin is configured"));
        }
        Address address = Address.parse(origin.get().originAddress());
        return requireSuccess(calls.call(
                address.toSocketAddress(), head, EMPTY_BODY, ORIGIN_CONNECT_TIMEOUT_MILLIS, ORIGIN_TIMEOUT_MILLIS));
    }

    private static Promise<PooledHttpClient.Response> requireSuccess(Promise<PooledHttpClient.Response> call) {
        return call.then(answer ->
                answer.isSuccess() ? Promise.of(answer) : Promise.ofException(new HttpStatusException(answer.head())));
    }

    @Override
    public Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request) {
        return dependencies
                .clients()
                .ask(Address.parse(box), request, TRANSFER_TIMEOUT_MILLIS)
                .map(reply -> reply instanceof NodeReply.Piece piece ? piece.bytes() : null);
    }

    @Override
    public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
        return dependencies
                .clients()
                .ask(Address.parse(box), request, request.waitMillis() + NEIGHBOUR_MARGIN_MILLIS)
                .map(reply -> reply instanceof NodeReply.PieceAvailability answer && answer.there());
    }
}
