package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.http.PooledHttpClient;
import org.bankturn.routing.EngineLoad;
import org.bankturn.weights.ChangeMethod;
import org.bankturn.weights.WeightsPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests when a copy that is whole may be started at its engine. */
@Timeout(60)
class EngineStarterTest {
    private static final int PIECES = 24;
    private static final byte[] NEWER_PIECE = {9};

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("starter-test").build();
    private final Map<String, ScriptedBox> boxes = new LinkedHashMap<>();
    private ScriptedBox box;

    @BeforeEach
    void copyWeights() {
        reactor.keepAlive(true);
        new Thread(reactor, "starter-test").start();
        box = new ScriptedBox(reactor, new ScriptedOrigin(PIECES), boxes, new WeightsPeer("north-1", "north", 0));
        run(() -> {
            SettablePromise<Void> whole = new SettablePromise<>();
            box.startCopy(PIECES);
            box.copy.onComplete(() -> whole.set(null));
            box.copy.allowStaging();
            return whole;
        });
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    @Test
    void weights_are_verified_again_when_their_verification_took_too_long() {
        box.readBackMillis = 100;
        assertThatThrownBy(this::start).hasMessageContaining("verified too long ago");
        assertThat(box.orders).isEmpty();
        box.readBackMillis = 0;
        start();
        assertThat(box.orders).hasSize(1);
    }

    @Test
    void replaced_copy_neither_restages_its_pieces_nor_orders_a_start() {
        box.staged.put(3, NEWER_PIECE);
        box.copy.cancel();
        assertThatThrownBy(this::start).hasMessageContaining("was replaced");
        assertThat(box.staged.get(3)).isEqualTo(NEWER_PIECE);
        assertThat(box.orders).isEmpty();
    }

    @Test
    void copy_replaced_during_verification_orders_no_start() {
        box.onReadBack = piece -> {
            if (piece == PIECES / 2) {
                box.copy.cancel();
            }
        };
        assertThatThrownBy(this::start).hasMessageContaining("was replaced");
        assertThat(box.orders).isEmpty();
    }

    @Test
    void start_waits_for_pieces_on_their_way_to_the_engine() {
        box.commandsInFlight = 1;
        assertThatThrownBy(this::start).hasMessageContaining("still on their way");
        assertThat(box.orders).isEmpty();
        box.commandsInFlight = 0;
        start();
        assertThat(box.orders).hasSize(1);
    }

    /** Guards against an order of a former version being sent again with the pieces of the newer one. */
    @Test
    void order_given_up_after_the_engine_had_begun_another_is_not_sent_again() {
        SettablePromise<PooledHttpClient.Response> answer = new SettablePromise<>();
        box.orderAnswer = answer;
        report(0, 1);
        run(() -> {
            Promise<Void> started = box.starter.start(box.copy, ChangeMethod.AT_ONCE);
            box.starter.observe(engineReport(1, PlainWeightsDialect.VERSION), box.starter.instance());
            answer.setException(new IOException("no answer"));
            return started.then(ignored -> Promise.complete(), failure -> Promise.complete());
        });
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isTrue();
    }

    /** Guards against an engine that gets no newer weights, since a settled order counts as unanswered for good. */
    @Test
    void order_settled_in_flight_stays_settled_after_the_engine_was_replaced() {
        SettablePromise<PooledHttpClient.Response> answer = new SettablePromise<>();
        box.orderAnswer = answer;
        report(0, 1);
        run(() -> {
            Promise<Void> started = box.starter.start(box.copy, ChangeMethod.AT_ONCE);
            box.starter.observe(engineReport(1, PlainWeightsDialect.VERSION), box.starter.instance());
            box.starter.observe(engineReport(0, 0), box.starter.instance());
            answer.setException(new IOException("no answer"));
            return started.then(ignored -> Promise.complete(), failure -> Promise.complete());
        });
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isTrue();
    }

    @Test
    void rejected_order_leaves_an_earlier_unanswered_one_open() {
        box.orderAnswer = Promise.ofException(new IOException("no answer"));
        report(4, 1);
        assertThatThrownBy(this::start).hasMessageContaining("no answer");
        box.orderAnswer = Promise.ofException(new HttpStatusException(HttpHead.response(409, List.of())));
        assertThatThrownBy(this::start).hasMessageContaining("409");
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isFalse();
    }

    @Test
    void rejected_order_allows_other_versions_to_be_staged() {
        box.orderAnswer = Promise.ofException(new HttpStatusException(HttpHead.response(409, List.of())));
        report(4, 1);
        assertThatThrownBy(this::start).hasMessageContaining("409");
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isTrue();
    }

    @Test
    void unanswered_order_is_sent_again_and_keeps_other_versions_from_being_staged() {
        box.orderAnswer = Promise.ofException(new IOException("no answer"));
        report(4, 1);
        assertThatThrownBy(this::start).hasMessageContaining("no answer");
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isFalse();
        box.orderAnswer = null;
        start();
        assertThat(box.orders).containsExactly("start 2 AT_ONCE", "start 2 AT_ONCE");
        assertThat(box.starter.allowsStaging(PlainWeightsDialect.VERSION + 1)).isTrue();
    }

    /** Guards against an order that its engine would execute later, once it has reached the revision of its predecessor. */
    @Test
    void order_to_a_new_incarnation_waits_for_a_report_of_it() {
        box.starter.publishedInstance("i-1");
        report(3, 1);
        box.starter.publishedInstance("i-2");
        assertThatThrownBy(this::start).hasMessageContaining("has not reported");
        assertThat(box.orders).isEmpty();
        report(0, 0);
        start();
        assertThat(box.orders).hasSize(1);
    }

    @Test
    void report_requested_from_a_former_incarnation_does_not_count() {
        box.starter.publishedInstance("i-1");
        String former = box.starter.instance();
        box.starter.publishedInstance("i-2");
        run(() -> {
            box.starter.observe(engineReport(3, 1), former);
            return Promise.complete();
        });
        assertThatThrownBy(this::start).hasMessageContaining("has not reported");
        assertThat(box.orders).isEmpty();
    }

    /** An order for a former incarnation is only settled by its rejection if the revision is the same. */
    @Test
    void unanswered_order_is_sent_again_after_its_engine_was_replaced() {
        box.starter.publishedInstance("i-1");
        report(0, 0);
        box.orderAnswer = Promise.ofException(new IOException("no answer"));
        assertThatThrownBy(this::start).hasMessageContaining("no answer");
        box.starter.publishedInstance("i-2");
        report(0, 0);
        assertThatThrownBy(this::start).hasMessageContaining("no answer");
        assertThat(box.orders).hasSize(2);
    }

    private void report(long revision, int heldVersion) {
        run(() -> {
            box.starter.observe(engineReport(revision, heldVersion), box.starter.instance());
            return Promise.complete();
        });
    }

    private static EngineReport engineReport(long revision, int heldVersion) {
        return new EngineReport("m", heldVersion, false, revision, new EngineLoad(0, 0, 0, 0, 1, false));
    }

    private void start() {
        run(() -> box.starter.start(box.copy, ChangeMethod.AT_ONCE));
    }

    private void run(Supplier<Promise<Void>> step) {
        reactor.submit(step::get).orTimeout(20, TimeUnit.SECONDS).join();
    }
}
