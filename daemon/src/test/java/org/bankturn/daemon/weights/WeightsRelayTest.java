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

/** Tests a relay without a reachable origin. */
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
                new WeightsDependencies(
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

    /** An immediate answer would make the box poll in a tight loop and then give up on the relay. */
    @Test
    void poll_for_unknown_version_is_answered_after_delay() {
        boolean answeredImmediately = run(() -> Promise.of(await(1).isComplete()));
        assertThat(answeredImmediately).isFalse();
        assertThat(run(() -> await(1))).isEqualTo(new NodeReply.PieceAvailability(false));
    }

    @Test
    void missing_piece_is_answered_with_null() {
        assertThat(run(() -> relay.sendPiece(new NodeRequest.GetPiece(PlainWeightsDialect.MODEL, 1, 0))))
                .isEqualTo(new NodeReply.Piece(null));
    }

    @Test
    void published_version_is_fetched_without_request() {
        run(() -> {
            relay.update(published(100, 5));
            return Promise.of(true);
        });
        assertThat(run(() -> Promise.of(relay.cachedVersions(PlainWeightsDialect.MODEL))))
                .containsExactly(5);
    }

    @Test
    void only_two_newest_versions_are_cached() {
        run(() -> {
            relay.update(published(100, 5));
            relay.update(published(100, 6));
            relay.update(published(100, 7));
            return await(3);
        });
        assertThat(run(() -> Promise.of(relay.cachedVersions(PlainWeightsDialect.MODEL))))
                .containsExactly(6, 7);
    }

    @Test
    void oversized_version_is_not_relayed() {
        run(() -> {
            relay.update(published(TOO_LARGE, 5));
            return Promise.of(true);
        });
        assertThat(run(() -> Promise.of(relay.cachedVersions(PlainWeightsDialect.MODEL))))
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

    /** An action that runs on the reactor's thread. */
    @FunctionalInterface
    private interface Step<T> {
        Promise<T> begin();
    }
}
