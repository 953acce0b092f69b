package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Function;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.observe.SilentConnections;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceRouting;

/** The process around a copy of weights: its calls to the engine, the origin and neighbours, and the plan as of now. */
final class ProcessCopyContext implements CopyContext {
    private static final long LOCAL_CALL_MILLIS = 1_500;
    private static final long ORIGIN_CALL_MILLIS = 2_500;
    private static final long ORIGIN_CONNECT_MILLIS = 300;
    private static final int MOST_ORIGIN_CALLS = 2;
    private static final long NEIGHBOUR_MARGIN_MILLIS = 400;
    private static final long TRANSFER_MILLIS = 2_500;
    private static final byte[] NOTHING = new byte[0];

    private final WeightsDependencies wiring;
    private final Participant place;
    private final HttpCalls calls;
    private PieceRouting routing;
    private long routedIndex;
    private int routedVersion;

    /** What differs between a box with an engine and a relay. */
    interface Participant {
        /** Returns the processes that take part, as of now. */
        WeightsPeers peers();

        /** Returns the index of what is published now, which rises with each change. */
        long index();

        /** Returns how many processes share the origin's connections. */
        int originSharers();

        /** Returns the plan for a version as of now. */
        PieceRouting plan(int version);

        /** Returns true if this process fetches a piece, by its plan, without being asked for it. */
        boolean wants(PieceRouting plan, int piece);

        /** Returns true if an engine on this box holds weights, so that its requests share the link. */
        boolean engineServes();

        /** Returns where the engine on this box is called, empty if there is none. */
        Optional<Address> engine();
    }

    ProcessCopyContext(WeightsDependencies wiring, Participant place) {
        this.wiring = wiring;
        this.place = place;
        this.calls = HttpCalls.on(
                wiring.reactor(),
                wiring.clock(),
                SilentConnections.to(ServingMetrics.PEER_TARGET, wiring.log(), wiring.metrics()));
    }

    @Override
    public Eventloop reactor() {
        return wiring.reactor();
    }

    @Override
    public Clock clock() {
        return wiring.clock();
    }

    @Override
    public DecisionLog log() {
        return wiring.log();
    }

    @Override
    public ServingMetrics metrics() {
        return wiring.metrics();
    }

    @Override
    public WeightsDialect dialect() {
        return wiring.dialect();
    }

    @Override
    public boolean engineServes() {
        return place.engineServes();
    }

    @Override
    public boolean wants(int version, int piece) {
        return place.wants(routing(version), piece);
    }

    @Override
    public PieceRouting routing(int version) {
        if (routing == null || routedIndex != place.index() || routedVersion != version) {
            routing = place.plan(version);
            routedIndex = place.index();
            routedVersion = version;
        }
        return routing;
    }

    @Override
    public Promise<HttpCalls.Answer> callEngine(HttpHead head, byte[] body) {
        return withEngine(engine -> calls.call(engine, head, body, LOCAL_CALL_MILLIS));
    }

    @Override
    public Promise<HttpCalls.Answer> queryEngine(HttpHead head) {
        return withEngine(engine -> calls.ask(engine, head, LOCAL_CALL_MILLIS));
    }

    private Promise<HttpCalls.Answer> withEngine(Function<InetSocketAddress, Promise<HttpCalls.Answer>> call) {
        return place.engine()
                .map(engine -> succeeding(call.apply(engine.toSocketAddress())))
                .orElseGet(() -> Promise.ofException(new IOException("no engine on this box")));
    }

    @Override
    public int maxOriginCalls() {
        int share = place.peers().originConnections() / Math.max(1, place.originSharers());
        return Math.max(1, Math.min(MOST_ORIGIN_CALLS, share));
    }

    @Override
    public Promise<HttpCalls.Answer> callOrigin(HttpHead head) {
        Optional<Service> origin = place.peers().origin();
        if (origin.isEmpty()) {
            return Promise.ofException(new IOException("no origin of weights"));
        }
        Address address = Address.parse(origin.get().originAddress());
        return succeeding(
                calls.call(address.toSocketAddress(), head, NOTHING, ORIGIN_CONNECT_MILLIS, ORIGIN_CALL_MILLIS));
    }

    private static Promise<HttpCalls.Answer> succeeding(Promise<HttpCalls.Answer> call) {
        return call.then(answer -> answer.isSuccess()
                ? Promise.of(answer)
                : Promise.ofException(new HttpStatusException(answer.head().status())));
    }

    @Override
    public Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request) {
        return wiring.clients()
                .ask(Address.parse(box), request, TRANSFER_MILLIS)
                .map(reply -> reply instanceof NodeReply.Piece piece ? piece.bytes() : null);
    }

    @Override
    public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
        return wiring.clients()
                .ask(Address.parse(box), request, request.waitMillis() + NEIGHBOUR_MARGIN_MILLIS)
                .map(reply -> reply instanceof NodeReply.PieceThere told && told.there());
    }
}
