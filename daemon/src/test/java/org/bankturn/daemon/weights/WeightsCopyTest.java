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
import org.bankturn.weights.PieceHolder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Copies of weights between boxes in memory, with neighbours, an origin and engines that misbehave. */
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
    void every_box_gets_the_version_whole_and_the_origin_sends_each_piece_once() {
        addBoxes(0, "north-1", "north-2", "south-1", "south-2");
        copyEverywhere();
        assertEverythingStaged();
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sends(piece)).isEqualTo(1);
        }
    }

    @Test
    void a_piece_that_comes_spoilt_from_the_origin_is_fetched_again() {
        addBoxes(0, "north-1", "north-2");
        origin.corruptSends.put(5, 2);
        copyEverywhere();
        assertEverythingStaged();
    }

    @Test
    void a_frozen_neighbour_holds_nobody_up() {
        addBoxes(0, "north-1", "north-2", "north-3", "south-1", "south-2", "south-3");
        boxes.get("north-2").frozen = true;
        copyTo("north-1", "north-3", "south-1", "south-2", "south-3");
        assertThat(boxes.get("south-3").staged).hasSize(PIECES);
        assertThat(boxes.get("north-3").staged).hasSize(PIECES);
    }

    /** After a loss of power boxes are still listed as holders, and hold nothing. */
    @Test
    void boxes_that_hold_nothing_after_all_do_not_send_everyone_to_the_origin() {
        addBoxes(PlainWeightsDialect.VERSION, "north-1", "north-2", "south-1", "south-2");
        copyEverywhere();
        assertEverythingStaged();
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sends(piece)).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void where_there_are_relays_boxes_ask_them_and_the_origin_sends_each_piece_once() {
        addBoxes(0, "north-1", "north-2", "south-1", "south-2");
        addRelays("north-8", "north-9", "south-8", "south-9");
        copyTo("north-1", "north-2", "south-1", "south-2");
        assertEverythingStaged("north-1", "north-2", "south-1", "south-2");
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sends(piece)).isEqualTo(1);
        }
        assertThat(boxes.get("north-1").awaitCounts.keySet()).containsExactlyInAnyOrder("north-8", "north-9");
    }

    @Test
    void a_frozen_relay_is_passed_over_for_its_deputy() {
        addBoxes(0, "north-1", "south-1", "south-2");
        addRelays("north-8", "north-9", "south-8", "south-9");
        boxes.get("south-8").frozen = true;
        copyTo("north-1", "south-1", "south-2");
        assertEverythingStaged("north-1", "south-1", "south-2");
        for (int piece = 0; piece < PIECES; piece++) {
            assertThat(origin.sends(piece)).isLessThanOrEqualTo(2);
        }
    }

    @Test
    void boxes_whose_relays_are_all_frozen_help_each_other() {
        addBoxes(0, "north-1", "north-2", "south-1");
        addRelays("north-8", "south-8");
        boxes.get("north-8").frozen = true;
        boxes.get("south-8").frozen = true;
        copyTo("north-1", "north-2", "south-1");
        assertEverythingStaged("north-1", "north-2", "south-1");
    }

    @Test
    void a_relay_takes_pieces_from_boxes_that_hold_the_version_when_the_origin_is_down() {
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
        assertEverythingStaged("north-2");
    }

    @Test
    void a_copy_goes_on_once_the_origin_is_back() {
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
        run(() -> wholeAll(List.copyOf(boxes.values())));
        assertEverythingStaged();
    }

    @Test
    void a_following_version_is_fetched_but_not_laid_down_until_it_may() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        run(() -> {
            box.startCopy(PIECES);
            return box.copy.awaitPiece(PIECES - 1, 10_000);
        });
        assertThat(box.staged).isEmpty();
        run(() -> {
            box.copy.allowStaging();
            return whole(box);
        });
        assertThat(box.staged).hasSize(PIECES);
    }

    @Test
    void a_piece_that_turned_bad_beside_the_engine_is_laid_down_again_before_the_start() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        box.corruptOnce.add(3);
        copyEverywhere();
        assertThat(box.staged.get(3)).isNotEqualTo(origin.piece(3));
        run(() -> box.copy.verifyAndStart(ChangeMethod.AFTER_ANSWERS).toVoid());
        assertThat(box.staged.get(3)).isEqualTo(origin.piece(3));
        assertThat(box.orders).containsExactly("start " + PlainWeightsDialect.VERSION + " AFTER_ANSWERS");
    }

    @Test
    void nothing_is_started_while_a_piece_does_not_stay_good() {
        addBoxes(0, "north-1");
        ScriptedBox box = boxes.get("north-1");
        box.alwaysCorrupt.add(3);
        copyEverywhere();
        assertThatThrownBy(() -> run(() ->
                        box.copy.verifyAndStart(ChangeMethod.AFTER_ANSWERS).toVoid()))
                .hasMessageContaining("piece 3 does not stay good");
        assertThat(box.orders).isEmpty();
    }

    // ---- boxes

    private void addBoxes(int listedVersion, String... names) {
        for (String name : names) {
            String hall = name.substring(0, name.indexOf('-'));
            ScriptedBox unused = new ScriptedBox(reactor, origin, boxes, new PieceHolder(name, hall, listedVersion));
        }
    }

    /** Adds relays whose copies have begun, as they do when a version is named. */
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

    private void copyEverywhere() {
        copyTo(boxes.keySet().toArray(String[]::new));
    }

    private void copyTo(String... names) {
        List<ScriptedBox> some = List.of(names).stream().map(boxes::get).toList();
        run(() -> {
            some.forEach(box -> box.startCopy(PIECES));
            some.forEach(box -> box.copy.allowStaging());
            return wholeAll(some);
        });
    }

    private static Promise<Void> wholeAll(List<ScriptedBox> some) {
        Promise<Void> all = Promise.complete();
        for (ScriptedBox box : some) {
            Promise<Void> one = whole(box);
            all = all.then(() -> one);
        }
        return all;
    }

    private static Promise<Void> whole(ScriptedBox box) {
        SettablePromise<Void> whole = new SettablePromise<>();
        box.copy.onComplete(() -> whole.set(null));
        if (box.copy.isComplete()) {
            whole.trySet(null);
        }
        return whole;
    }

    private void assertEverythingStaged() {
        assertEverythingStaged(boxes.keySet().toArray(String[]::new));
    }

    private void assertEverythingStaged(String... names) {
        for (String name : names) {
            for (int piece = 0; piece < PIECES; piece++) {
                assertThat(boxes.get(name).staged.get(piece)).isEqualTo(origin.piece(piece));
            }
        }
    }

    private <T> T run(Step<T> step) {
        return reactor.submit(step::begin).orTimeout(20, TimeUnit.SECONDS).join();
    }

    /** Something that is done on the reactor's thread. */
    @FunctionalInterface
    private interface Step<T> {
        Promise<T> begin();
    }
}
