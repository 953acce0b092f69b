package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.WeightsLayout;
import org.bankturn.weights.FormerStart;
import org.bankturn.weights.WeightsPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests what a restarted process finds out about a start order that its predecessor may have sent. */
@Timeout(60)
class FormerStartCheckTest {
    private static final int PIECES = 24;
    private static final int STAGED = PlainWeightsDialect.VERSION;
    private static final int NEWEST = STAGED + 1;
    private static final WeightsLayout LAYOUT = new WeightsLayout(PlainWeightsDialect.MODEL, 1, PIECES, 100);

    /** A read-back of all pieces then takes longer than an engine may delay an order. */
    private static final long SLOW_READ_BACK_MILLIS = 1_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("former-start-test").build();
    private final AtomicInteger readBacks = new AtomicInteger();
    private final RecentManifests manifests = new RecentManifests();
    private ScriptedBox box;
    private FormerStartCheck check;

    @BeforeEach
    void stageWeights() {
        reactor.keepAlive(true);
        new Thread(reactor, "former-start-test").start();
        box = new ScriptedBox(
                reactor, new ScriptedOrigin(PIECES), new LinkedHashMap<>(), new WeightsPeer("north-1", "north", 0));
        run(() -> {
            SettablePromise<Void> whole = new SettablePromise<>();
            box.startCopy(PIECES);
            box.copy.onComplete(() -> whole.set(null));
            box.copy.allowStaging();
            return whole;
        });
        box.onReadBack = piece -> readBacks.incrementAndGet();
        check = FormerStartCheck.of(box, manifests);
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** Guards against read-backs and delays after each restart, although no newer version was published. */
    @Test
    void nothing_is_read_back_where_the_engine_holds_the_newest_version() {
        assertThat(check.finding(report(0, STAGED), STAGED, true)).contains(FormerStart.none());
        assertThat(check.isDone()).isTrue();
        assertThat(readBacks).hasValue(0);
    }

    /** Guards against trust in a publication that may lack the version that the former process ordered. */
    @Test
    void publication_that_is_not_confirmed_proves_nothing() {
        assertThat(check.finding(report(0, STAGED), STAGED, false)).isEmpty();
        assertThat(check.isDone()).isFalse();
    }

    @Test
    void order_that_the_engine_began_since_rules_former_ones_out() {
        assertThat(check.finding(report(3, 1), NEWEST, true)).isEmpty();
        assertThat(check.finding(report(4, 1), NEWEST, true)).contains(FormerStart.none());
    }

    @Test
    void staged_version_is_found_once_its_manifest_is_known() {
        assertThat(check.finding(report(0, 1), NEWEST, true)).isEmpty();
        readStagedPieces();
        assertThat(check.finding(report(0, 1), NEWEST, true)).isEmpty();
        lookUpManifests();
        assertThat(check.finding(report(0, 1), NEWEST, true)).contains(FormerStart.of(STAGED));
        assertThat(check.pieces()).hasSize(PIECES);
    }

    /** Guards against an engine that gets no weights for good, because its staged pieces belong to no known version. */
    @Test
    void pieces_that_prove_nothing_hold_the_weights_back_for_the_longest_delay_only() {
        readStagedPieces();
        assertThat(check.finding(report(0, 1), NEWEST, true)).isEmpty();
        box.readBackMillis = SLOW_READ_BACK_MILLIS;
        check = FormerStartCheck.of(box, manifests);
        readStagedPieces();
        assertThat(check.finding(report(0, 1), NEWEST, true)).contains(FormerStart.none());
    }

    /** Guards against an engine whose read-backs have no end and fill the memory of the process beside it, piece by piece. */
    @Test
    void pieces_larger_than_those_of_a_version_are_not_kept() {
        box.staged.replaceAll((piece, bytes) -> new byte[LAYOUT.pieceBytes() + 1]);
        readStagedPieces();
        assertThat(check.pieces()).isEmpty();
        assertThat(readBacks).hasValue(1);
    }

    private void readStagedPieces() {
        run(() -> {
            check.readStagedPieces(LAYOUT);
            return Promise.complete();
        });
    }

    private void lookUpManifests() {
        run(() -> {
            check.lookUpManifests(PlainWeightsDialect.MODEL, 1, NEWEST, List.of());
            return Promise.complete();
        });
    }

    private static EngineReport report(long revision, int heldVersion) {
        return new EngineReport("m", heldVersion, false, revision, new EngineLoad(0, 0, 0, 0, 1, false));
    }

    private void run(Supplier<Promise<Void>> step) {
        reactor.submit(step::get).orTimeout(20, TimeUnit.SECONDS).join();
    }
}
