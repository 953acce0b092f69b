package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Clients whose open connections all go silent at once while new ones work: the client must not wait for one timeout per
 * peer, nor reuse a silent connection because another reply arrived on it while the timed-out request was pending.
 */
@Timeout(60)
class NodeClientsTest {
    private static final int PEERS = 3;
    private static final long SHORT_TIMEOUT_MILLIS = 300;

    /** Half of it, the silence threshold, exceeds the reply latency of a busy machine. */
    private static final long MEDIUM_TIMEOUT_MILLIS = 4_000;

    private static final long LONG_TIMEOUT_MILLIS = 20_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("node-clients-test").build();
    private final List<SilencingRelay> relays = new ArrayList<>();
    private NodeClients clients;

    @BeforeEach
    void start() throws IOException {
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "node-clients-test");
        thread.setDaemon(true);
        thread.start();
        clients = NodeClients.on(reactor);
        for (int peer = 0; peer < PEERS; peer++) {
            Address address = FreeAddresses.next();
            reactor.submit(() -> {
                        NodeServer.create(reactor, address, NodeClientsTest::answer)
                                .listen();
                        return Promise.complete();
                    })
                    .join();
            relays.add(SilencingRelay.inFrontOf(address));
        }
    }

    @AfterEach
    void stop() throws IOException {
        reactor.breakEventloop();
        for (SilencingRelay relay : relays) {
            relay.close();
        }
    }

    @Test
    void after_a_timeout_connections_without_later_data_are_not_reused() {
        askAll();
        relays.forEach(SilencingRelay::silence);
        assertThatThrownBy(() -> ask(0, SHORT_TIMEOUT_MILLIS)).isInstanceOf(CompletionException.class);
        askAll();
        assertThat(relays.stream()
                        .mapToInt(SilencingRelay::silentConnectionsUsed)
                        .sum())
                .isEqualTo(1);
    }

    @Test
    void a_connection_that_received_replies_during_the_silence_of_another_is_reused() {
        askAll();
        relays.get(0).silence();
        CompletableFuture<NodeReply> unanswered = askAsync(0, MEDIUM_TIMEOUT_MILLIS);
        while (!unanswered.isDone()) {
            ask(1, LONG_TIMEOUT_MILLIS);
        }
        ask(1, LONG_TIMEOUT_MILLIS);
        assertThat(relays.get(1).openedConnections()).isEqualTo(1);
    }

    @Test
    void a_connection_that_went_silent_after_replies_to_later_requests_is_not_reused() {
        // opens the connection first: requests made while connecting may be sent out of order
        ask(0, LONG_TIMEOUT_MILLIS);
        CompletableFuture<NodeReply> unanswered = clients.askFromAnyThread(
                relays.get(0).address(), new NodeRequest.GetManifest("never"), SHORT_TIMEOUT_MILLIS);
        ask(0, LONG_TIMEOUT_MILLIS);
        relays.get(0).silence();
        assertThatThrownBy(unanswered::join).isInstanceOf(CompletionException.class);
        ask(0, LONG_TIMEOUT_MILLIS);
        assertThat(relays.get(0).silentConnectionsUsed()).isZero();
    }

    private void askAll() {
        for (int peer = 0; peer < PEERS; peer++) {
            assertThat(ask(peer, LONG_TIMEOUT_MILLIS)).isInstanceOf(NodeReply.Acknowledged.class);
        }
    }

    private NodeReply ask(int peer, long timeoutMillis) {
        return askAsync(peer, timeoutMillis).join();
    }

    private CompletableFuture<NodeReply> askAsync(int peer, long timeoutMillis) {
        return clients.askFromAnyThread(relays.get(peer).address(), new NodeRequest.GetLoad(), timeoutMillis);
    }

    /** Replies to every request except those for manifests. */
    private static Promise<NodeReply> answer(NodeRequest request) {
        return request instanceof NodeRequest.GetManifest
                ? new SettablePromise<>()
                : Promise.of(new NodeReply.Acknowledged());
    }
}
