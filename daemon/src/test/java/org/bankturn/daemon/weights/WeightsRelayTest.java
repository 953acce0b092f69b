package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.OutputStream;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.NamedWeights;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A relay on a reactor of its own, whose origin does not answer. */
@Timeout(60)
class WeightsRelayTest {
    private static final int TOO_LARGE = 1 << 30;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("relay-test").build();
    private final Clock clock = Clock.system();
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "relay", clock);
    private WeightsRelay relay;

    @BeforeEach
    void startRelay() {
        reactor.keepAlive(true);
        new Thread(reactor, "relay-test").start();
        relay = WeightsRelay.of(
                new WeightsRelay.RelaySettings("north", FreeAddresses.next(), 1_000_000),
                new WeightsWiring(
                        reactor,
                        NodeClients.on(reactor),
                        new PlainWeightsDialect(),
                        clock,
                        log,
                        ServingMetrics.of(log)));
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** An answer at once would have the box ask again at once, and give the relay up for the piece. */
    @Test
    void a_relay_that_knows_nothing_yet_does_not_answer_at_once_that_a_piece_is_not_coming() {
        boolean answeredAtOnce = run(() -> Promise.of(await(1).isComplete()));
        assertThat(answeredAtOnce).isFalse();
        assertThat(run(() -> await(1))).isEqualTo(new NodeReply.PieceThere(false));
    }

    @Test
    void a_piece_that_is_not_here_is_answered_with_none() {
        assertThat(run(() -> relay.givePiece(new NodeRequest.GetPiece(PlainWeightsDialect.MODEL, 1, 0))))
                .isEqualTo(new NodeReply.Piece(null));
    }

    @Test
    void a_version_that_was_named_is_fetched_before_anyone_asks() {
        run(() -> {
            relay.update(published(100, 5));
            return Promise.of(true);
        });
        assertThat(run(() -> Promise.of(relay.versionsKept(PlainWeightsDialect.MODEL))))
                .containsExactly(5);
    }

    @Test
    void only_the_two_newest_versions_are_kept() {
        run(() -> {
            relay.update(published(100, 5));
            relay.update(published(100, 6));
            relay.update(published(100, 7));
            return await(3);
        });
        assertThat(run(() -> Promise.of(relay.versionsKept(PlainWeightsDialect.MODEL))))
                .containsExactly(6, 7);
    }

    @Test
    void a_version_that_does_not_fit_into_an_entry_box_is_left_to_the_boxes_themselves() {
        run(() -> {
            relay.update(published(TOO_LARGE, 5));
            return Promise.of(true);
        });
        assertThat(run(() -> Promise.of(relay.versionsKept(PlainWeightsDialect.MODEL))))
                .isEmpty();
    }

    private Promise<NodeReply> await(int version) {
        return relay.awaitPiece(new NodeRequest.AwaitPiece(PlainWeightsDialect.MODEL, version, 0, 50));
    }

    private static PublishedState published(int pieceBytes, int version) {
        Service engines = new Service(
                "engines",
                "/health",
                10,
                null,
                new WeightsLayout(PlainWeightsDialect.MODEL, 1, 4, pieceBytes),
                null,
                null);
        ServingConfiguration configuration =
                ServingConfiguration.of(1, List.of(), List.of(engines), ClientLimits.DEFAULT, List.of());
        NamedWeights named = new NamedWeights(PlainWeightsDialect.MODEL, version, version);
        return new PublishedState(version, configuration, List.of(named), Map.of(), List.of(), true);
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
