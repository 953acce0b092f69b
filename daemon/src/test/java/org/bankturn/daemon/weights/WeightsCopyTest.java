package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bankturn.weights.ChangeMethod;
import org.bankturn.weights.WeightsPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests copies of weights between simulated boxes with failures of neighbours, the origin and engines. */
@Timeout(60)
class WeightsCopyTest {
    private static final int PIECES = 24;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("weights-test").build();
    private final ScriptedOrigin origin = new ScriptedOrigin(PIECES);
    private final Map<String, ScriptedBox> boxes = new LinkedHashMap<>();

    @BeforeEach
    void startReactor() {
        reactor.keepAlive(true);
        new Thread(reactor, "weights-test").start();
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    @Test
    void every_box_completes_and_origin_sends_each_piece_once() {
        addBoxes(0, "north-1", "north-2", "south-1", "south-2");
        copyToAll();
        assertAllStaged();
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sendCount(piece)).isEqualTo(1);
        }
    }

    @Test
    void corrupt_piece_from_origin_is_fetched_again() {
        addBoxes(0, "north-1", "north-2");
        origin.corruptSends.put(5, 2);
        copyToAll();
        assertAllStaged();
    }

    @Test
    void frozen_neighbour_does_not_block_others() {
        addBoxes(0, "north-1", "north-2", "north-3", "south-1", "south-2", "south-3");
        boxes.get("north-2").frozen = true;
        copyTo("north-1", "north-3", "south-1", "south-2", "south-3");
        assertThat(boxes.get("south-3").staged).hasSize(PIECES);
        assertThat(boxes.get("north-3").staged).hasSize(PIECES);
    }

    /** Boxes that restarted empty may still be published as holders. */
    @Test
    void empty_published_holders_do_not_overload_origin() {
        addBoxes(PlainWeightsDialect.VERSION, "north-1", "north-2", "south-1", "south-2");
        copyToAll();
        assertAllStaged();
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sendCount(piece)).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void boxes_fetch_from_relays_and_origin_sends_each_piece_once() {
        addBoxes(0, "north-1", "north-2", "south-1", "south-2");
        addRelays("north-8", "north-9", "south-8", "south-9");
        copyTo("north-1", "north-2", "south-1", "south-2");
        assertAllStaged("north-1", "north-2", "south-1", "south-2");
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sendCount(piece)).isEqualTo(1);
        }
        assertThat(boxes.get("north-1").awaitCounts.keySet()).containsExactlyInAnyOrder("north-8", "north-9");
    }

    @Test
    void frozen_relay_is_replaced_by_its_deputy() {
        addBoxes(0, "north-1", "south-1", "south-2");
        addRelays("north-8", "north-9", "south-8", "south-9");
        boxes.get("south-8").frozen = true;
        copyTo("north-1", "south-1", "south-2");
        assertAllStaged("north-1", "south-1", "south-2");
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sendCount(piece)).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void boxes_exchange_pieces_when_all_relays_are_frozen() {
        addBoxes(0, "north-1", "north-2", "south-1");
        addRelays("north-8", "south-8");
        boxes.get("north-8").frozen = true;
        boxes.get("south-8").frozen = true;
        copyTo("north-1", "north-2", "south-1");
        assertAllStaged("north-1", "north-2", "south-1");
    }

    @Test
    void relay_fetches_from_holders_when_origin_is_down() {
        addBoxes(PlainWeightsDialect.VERSION, "north-1", "south-1");
        run(() -> {
            boxes.get("north-1").startCopy(PIECES);
            boxes.get("south-1").startCopy(PIECES);
            return Promise.complete();
        });
        copyTo("north-1", "south-1");
        origin.down = true;
        addRelays("north-8");
        addBoxes(0, "north-2");
        copyTo("north-2");
        assertAllStaged("north-2");
    }

    @Test
    void copy_resumes_when_origin_recovers() {
        addBoxes(0, "north-1", "south-1");
        origin.down = true;
        origin.manifestDown = true;
        run(() -> {
            boxes.values().forEach(box -> box.startCopy(PIECES));
            boxes.values().forEach(box -> box.copy.allowStaging());
            return Promise.complete();
        });
        run(() -> {
            origin.down = false;
            origin.manifestDown = false;
            return Promise.complete();
        });
        run(() -> completionOfAll(List.copyOf(boxes.values())));
        assertAllStaged();
    }

    @Test
    void next_version_is_fetched_but_not_staged_until_allowed() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        run(() -> {
            box.startCopy(PIECES);
            return box.copy.awaitPiece(PIECES - 1, 10_000);
        });
        assertThat(box.staged).isEmpty();
        run(() -> {
            box.copy.allowStaging();
            return completion(box);
        });
        assertThat(box.staged).hasSize(PIECES);
    }

    @Test
    void corrupt_staged_piece_is_restaged_before_start() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        box.corruptOnce.add(3);
        copyToAll();
        assertThat(box.staged.get(3)).isNotEqualTo(origin.piece(3));
        run(() -> box.starter.start(box.copy, ChangeMethod.AFTER_ANSWERS));
        assertThat(box.staged.get(3)).isEqualTo(origin.piece(3));
        assertThat(box.orders).containsExactly("start " + PlainWeightsDialect.VERSION + " AFTER_ANSWERS");
    }

    @Test
    void start_fails_while_staged_piece_stays_corrupt() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        box.alwaysCorrupt.add(3);
        copyToAll();
        assertThatThrownBy(() -> run(() -> box.starter.start(box.copy, ChangeMethod.AFTER_ANSWERS)))
                .hasMessageContaining("piece 3 is still corrupt after restaging");
        assertThat(box.orders).isEmpty();
    }

    // ---- helpers

    private void addBoxes(int listedVersion, String... names) {
        for (String name : names) {
            String hall = name.substring(0, name.indexOf('-'));
            ScriptedBox unused = new ScriptedBox(reactor, origin, boxes, new WeightsPeer(name, hall, listedVersion));
        }
    }

    /** Adds relays whose copies have started, as after the publication of a version. */
    private void addRelays(String... names) {
        addBoxes(0, names);
        for (String name : names) {
            boxes.get(name).relay = true;
        }
        run(() -> {
            List.of(names).forEach(name -> boxes.get(name).startCopy(PIECES));
            return Promise.complete();
        });
    }

    private void copyToAll() {
        copyTo(boxes.keySet().toArray(String[]::new));
    }

    private void copyTo(String... names) {
        List<ScriptedBox> some = List.of(names).stream().map(boxes::get).toList();
        run(() -> {
            some.forEach(box -> box.startCopy(PIECES));
            some.forEach(box -> box.copy.allowStaging());
            return completionOfAll(some);
        });
    }

    private static Promise<Void> completionOfAll(List<ScriptedBox> some) {
        Promise<Void> all = Promise.complete();
        for (ScriptedBox box : some) {
            Promise<Void> one = completion(box);
            all = all.then(() -> one);
        }
        return all;
    }

    private static Promise<Void> completion(ScriptedBox box) {
        SettablePromise<Void> completion = new SettablePromise<>();
        box.copy.onComplete(() -> completion.set(null));
        if (box.copy.isComplete()) {
            completion.trySet(null);
        }
        return completion;
    }

    private void assertAllStaged() {
        assertAllStaged(boxes.keySet().toArray(String[]::new));
    }

    private void assertAllStaged(String... names) {
        for (String name : names) {
            for (int piece = 0; piece < PIECES; piece++) {
                assertThat(boxes.get(name).staged.get(piece)).isEqualTo(origin.piece(piece));
            }
        }
    }

    private <T> T run(Step<T> step) {
        return reactor.submit(step::begin).orTimeout(20, TimeUnit.SECONDS).join();
    }

    /** An action that runs on the reactor's thread. */
    @FunctionalInterface
    private interface Step<T> {
        Promise<T> begin();
    }
}
