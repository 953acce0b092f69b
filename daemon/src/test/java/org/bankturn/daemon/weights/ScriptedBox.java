package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntConsumer;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.WeightsPeer;

/** A simulated box with an in-memory engine and one copy of weights; its neighbours are the other boxes of the test. */
final class ScriptedBox implements CopyContext {
    private static final int FETCHERS = 100;

    final WeightsPeer self;
    final Map<Integer, byte[]> staged = new HashMap<>();
    final List<String> orders = new ArrayList<>();
    final Set<Integer> corruptOnce = new HashSet<>();
    final Set<Integer> alwaysCorrupt = new HashSet<>();
    boolean frozen;

    /** How long the engine takes to send a staged piece back, in milliseconds. */
    long readBackMillis;

    /** Called with the number of each piece that is read back. */
    IntConsumer onReadBack = piece -> {};

    int commandsInFlight;

    /** The answer to the next orders, null if they succeed at once. */
    Promise<PooledHttpClient.Response> orderAnswer;

    boolean relay;
    final Map<String, Integer> awaitCounts = new HashMap<>();
    WeightsCopy copy;
    final EngineStarter starter = new EngineStarter(this);
    private final Eventloop reactor;
    private final ScriptedOrigin origin;
    private final Map<String, ScriptedBox> boxes;
    private final Clock systemClock = Clock.system();
    private long skippedMillis;
    private final Clock clock = () -> systemClock.millis() + skippedMillis;
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "box", clock);
    private final ServingMetrics metrics = ServingMetrics.of(log);

    ScriptedBox(Eventloop reactor, ScriptedOrigin origin, Map<String, ScriptedBox> boxes, WeightsPeer self) {
        this.reactor = reactor;
        this.origin = origin;
        this.boxes = boxes;
        this.self = self;
        boxes.put(self.box(), this);
    }

    void startCopy(int pieces) {
        copy = new WeightsCopy(
                this, new WeightsLayout(PlainWeightsDialect.MODEL, 1, pieces, 100), PlainWeightsDialect.VERSION);
        copy.start();
    }

    @Override
    public Eventloop reactor() {
        return reactor;
    }

    @Override
    public Clock clock() {
        return clock;
    }

    @Override
    public DecisionLog log() {
        return log;
    }

    @Override
    public ServingMetrics metrics() {
        return metrics;
    }

    @Override
    public WeightsDialect dialect() {
        return new PlainWeightsDialect();
    }

    @Override
    public boolean engineServes() {
        return self.heldVersion() > 0;
    }

    @Override
    public PieceRouting routing(int version) {
        List<WeightsPeer> relays = holders(true);
        return relay
                ? PieceRouting.of(self, relays, version, FETCHERS).withPossibleHolders(holders(false))
                : PieceRouting.of(self, holders(false), version, FETCHERS).withRelays(relays);
    }

    private List<WeightsPeer> holders(boolean relays) {
        return boxes.values().stream()
                .filter(box -> box.relay == relays)
                .map(box -> box.self)
                .toList();
    }

    @Override
    public int maxOriginCalls() {
        return 1;
    }

    @Override
    public boolean shouldFetch(int version, int piece) {
        return !relay || routing(version).isHallFetcher(piece);
    }

    @Override
    public Promise<PooledHttpClient.Response> callEngine(HttpHead head, byte[] body) {
        byte[] answer = new byte[0];
        if (head.second().startsWith("put/")) {
            put(ScriptedOrigin.numberOf(head), body);
        } else if (head.second().startsWith("get/")) {
            skippedMillis += readBackMillis;
            onReadBack.accept(ScriptedOrigin.numberOf(head));
            answer = staged.get(ScriptedOrigin.numberOf(head));
        } else {
            orders.add(new String(body, StandardCharsets.UTF_8));
            if (orderAnswer != null) {
                return orderAnswer;
            }
        }
        return Promise.of(new PooledHttpClient.Response(HttpHead.response(200, List.of()), answer));
    }

    @Override
    public int commandsInFlight() {
        return commandsInFlight;
    }

    @Override
    public Promise<PooledHttpClient.Response> queryEngine(HttpHead head) {
        return callEngine(head, new byte[0]);
    }

    private void put(int piece, byte[] body) {
        boolean corrupt = alwaysCorrupt.contains(piece) || corruptOnce.remove(piece);
        staged.put(piece, corrupt ? new byte[] {7} : body);
    }

    @Override
    public Promise<PooledHttpClient.Response> callOrigin(HttpHead head) {
        return origin.answer(head);
    }

    @Override
    public Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request) {
        ScriptedBox neighbour = boxes.get(box);
        if (neighbour.frozen) {
            return Promise.ofException(new IOException("frozen"));
        }
        return Promise.of(neighbour.copy == null ? null : neighbour.copy.piece(request.piece()));
    }

    @Override
    public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
        ScriptedBox neighbour = boxes.get(box);
        if (neighbour.frozen) {
            return Promise.ofException(new IOException("frozen"));
        }
        if (neighbour.copy == null) {
            return Promise.of(false);
        }
        awaitCounts.merge(box, 1, Integer::sum);
        if (neighbour.relay) {
            neighbour.copy.request(request.piece());
        }
        return neighbour.copy.awaitPiece(request.piece(), request.waitMillis());
    }
}
