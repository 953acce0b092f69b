package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.time.ManualClock;
import org.bankturn.weights.PieceRouting;
import org.bankturn.weights.WeightsPeer;
import org.junit.jupiter.api.Test;

/**
 * Guards against two versions being fetched concurrently at half the origin's rate each, so that neither is complete by the
 * deadline of the first.
 */
class FetchSchedulerTest {
    private static final int PIECES = 10;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.create();
    private final FetchScheduler scheduler = new FetchScheduler();
    private final List<String> requested = new ArrayList<>();
    private final Deque<SettablePromise<PooledHttpClient.Response>> pendingCalls = new ArrayDeque<>();

    @Test
    void half_fetched_older_version_is_finished_before_newer_one() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        answer(2 * PIECES);
        assertThat(requested.subList(0, PIECES)).allMatch(piece -> piece.startsWith("2/"));
        assertThat(requested).hasSize(2 * PIECES);
    }

    @Test
    void barely_started_older_version_yields_to_newer_one() {
        fetch(2);
        answer(1);
        fetch(3);
        answer(2);
        int before = requested.size();
        answer(PIECES - 3);
        assertThat(requested.subList(before, requested.size())).allMatch(piece -> piece.startsWith("3/"));
        answer(2 * PIECES);
        assertThat(requested).hasSize(2 * PIECES);
    }

    @Test
    void version_no_longer_served_by_origin_does_not_block_others() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        for (int refused = 0; refused < 5; refused++) {
            pendingCalls.poll().setException(new HttpStatusException(HttpHead.response(410, List.of())));
        }
        assertThat(requested).contains("3/0");
    }

    @Test
    void unresponsive_origin_does_not_change_priority() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        for (int failed = 0; failed < 5; failed++) {
            clock.advance(1_000);
            pendingCalls.poll().setException(new IOException("no answer"));
        }
        assertThat(requested).noneMatch(piece -> piece.startsWith("3/"));
    }

    private void fetch(int version) {
        PieceFetcher fetcher = new PieceFetcher(
                new ManualOriginContext(version), PlainWeightsDialect.MODEL, version, new AcceptingSink(), scheduler);
        for (int piece = 0; piece < PIECES; piece++) {
            fetcher.fetch(piece);
        }
    }

    private void answer(int count) {
        for (int answered = 0; answered < count && !pendingCalls.isEmpty(); answered++) {
            pendingCalls.poll().set(new PooledHttpClient.Response(HttpHead.response(200, List.of()), new byte[] {1}));
        }
    }

    /** Accepts each piece once, without verification. */
    private static final class AcceptingSink implements PieceSink {
        private final Set<Integer> received = new HashSet<>();

        @Override
        public boolean isMissing(int piece) {
            return !received.contains(piece);
        }

        @Override
        public boolean accept(int piece, byte[] bytes, String source) {
            return received.add(piece);
        }
    }

    /** A context without neighbours whose origin calls complete only when the test answers them. */
    private final class ManualOriginContext implements CopyContext {
        private final int version;
        private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "box", clock);
        private final ServingMetrics metrics = ServingMetrics.of(log);

        ManualOriginContext(int version) {
            this.version = version;
        }

        @Override
        public Eventloop reactor() {
            return reactor;
        }

        @Override
        public ManualClock clock() {
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
            return true;
        }

        @Override
        public PieceRouting routing(int wanted) {
            WeightsPeer self = new WeightsPeer("self", "north", 0);
            return PieceRouting.of(self, List.of(self), wanted, 1);
        }

        @Override
        public int maxOriginCalls() {
            return 1;
        }

        @Override
        public boolean shouldFetch(int wanted, int piece) {
            return true;
        }

        @Override
        public Promise<PooledHttpClient.Response> callEngine(HttpHead head, byte[] body) {
            throw new AssertionError("unexpected engine command");
        }

        @Override
        public int commandsInFlight() {
            return 0;
        }

        @Override
        public Promise<PooledHttpClient.Response> queryEngine(HttpHead head) {
            throw new AssertionError("unexpected engine request");
        }

        @Override
        public Promise<PooledHttpClient.Response> callOrigin(HttpHead head) {
            requested.add(version + "/" + ScriptedOrigin.numberOf(head));
            SettablePromise<PooledHttpClient.Response> answer = new SettablePromise<>();
            pendingCalls.add(answer);
            return answer;
        }

        @Override
        public Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request) {
            throw new AssertionError("unexpected neighbour call");
        }

        @Override
        public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
            throw new AssertionError("unexpected neighbour call");
        }
    }
}
