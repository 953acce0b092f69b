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
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.time.ManualClock;
import org.bankturn.weights.PieceHolder;
import org.bankturn.weights.PieceRouting;
import org.junit.jupiter.api.Test;

/**
 * A second version was named while the first was half here, and the origin failed for some seconds in between. Both were
 * then fetched side by side, each at half of the origin's rate, so that neither was there when the first was due, and nothing
 * served for seconds.
 */
class FetchSchedulerTest {
    private static final int PIECES = 10;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.create();
    private final FetchScheduler turns = new FetchScheduler();
    private final List<String> asked = new ArrayList<>();
    private final Deque<SettablePromise<HttpCalls.Answer>> open = new ArrayDeque<>();

    @Test
    void an_older_version_that_is_half_here_is_finished_before_the_newer_one_is_fetched() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        answer(2 * PIECES);
        assertThat(asked.subList(0, PIECES)).allMatch(piece -> piece.startsWith("2/"));
        assertThat(asked).hasSize(2 * PIECES);
    }

    @Test
    void an_older_version_that_has_hardly_begun_is_left_for_the_newer_one() {
        fetch(2);
        answer(1);
        fetch(3);
        answer(2);
        int before = asked.size();
        answer(PIECES - 3);
        assertThat(asked.subList(before, asked.size())).allMatch(piece -> piece.startsWith("3/"));
        answer(2 * PIECES);
        assertThat(asked).hasSize(2 * PIECES);
    }

    @Test
    void an_older_version_that_the_origin_no_longer_gives_keeps_none_back() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        for (int refused = 0; refused < 5; refused++) {
            open.poll().setException(new HttpStatusException(410));
        }
        assertThat(asked).contains("3/0");
    }

    @Test
    void an_origin_that_answers_nothing_for_long_leaves_the_order_as_it_was() {
        fetch(2);
        answer(PIECES / 2);
        fetch(3);
        for (int failed = 0; failed < 5; failed++) {
            clock.advance(1_000);
            open.poll().setException(new IOException("no answer"));
        }
        assertThat(asked).noneMatch(piece -> piece.startsWith("3/"));
    }

    private void fetch(int version) {
        PieceFetcher fetcher =
                new PieceFetcher(new SlowOrigin(version), PlainWeightsDialect.MODEL, version, new AnyPiece(), turns);
        for (int piece = 0; piece < PIECES; piece++) {
            fetcher.fetch(piece);
        }
    }

    private void answer(int count) {
        for (int answered = 0; answered < count && !open.isEmpty(); answered++) {
            open.poll().set(new HttpCalls.Answer(HttpHead.answer(200, List.of()), new byte[] {1}));
        }
    }

    /** Takes each piece once, whatever its bytes. */
    private static final class AnyPiece implements PieceSink {
        private final Set<Integer> here = new HashSet<>();

        @Override
        public boolean isMissing(int piece) {
            return !here.contains(piece);
        }

        @Override
        public boolean accept(int piece, byte[] bytes, String source) {
            return here.add(piece);
        }
    }

    /** A box without neighbours whose origin answers only when the test says. */
    private final class SlowOrigin implements CopyContext {
        private final int version;
        private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "box", clock);
        private final ServingMetrics metrics = ServingMetrics.of(log);

        SlowOrigin(int version) {
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
            PieceHolder self = new PieceHolder("self", "north", 0);
            return PieceRouting.of(self, List.of(self), wanted, 1);
        }

        @Override
        public int maxOriginCalls() {
            return 1;
        }

        @Override
        public boolean wants(int wanted, int piece) {
            return true;
        }

        @Override
        public Promise<HttpCalls.Answer> callEngine(HttpHead head, byte[] body) {
            throw new AssertionError("nothing is laid beside an engine");
        }

        @Override
        public Promise<HttpCalls.Answer> queryEngine(HttpHead head) {
            throw new AssertionError("no engine is asked");
        }

        @Override
        public Promise<HttpCalls.Answer> callOrigin(HttpHead head) {
            asked.add(version + "/" + ScriptedOrigin.numberOf(head));
            SettablePromise<HttpCalls.Answer> answer = new SettablePromise<>();
            open.add(answer);
            return answer;
        }

        @Override
        public Promise<byte[]> requestPiece(String box, NodeRequest.GetPiece request) {
            throw new AssertionError("there are no neighbours");
        }

        @Override
        public Promise<Boolean> awaitNeighbour(String box, NodeRequest.AwaitPiece request) {
            throw new AssertionError("there are no neighbours");
        }
    }
}
