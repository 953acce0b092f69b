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
 * One process that asks others over connections which go silent.
 *
 * <p>All open connections went silent for good at one moment, without a reset, while new ones worked. Processes that follow
 * the control group lost one control process after the other, 1.0, 2.0 and 3.0 s after that moment, because each had kept a
 * connection to every one and found out about each by itself; then the first one again after 4.0 s, because its connection
 * had not been given up: an answer to another question had come on it after the question that ran out of time was asked. A
 * change of configuration that was accepted when the silence began was in force everywhere 4,074 ms later.
 */
@Timeout(60)
class NodeClientsTest {
    private static final int PEERS = 3;
    private static final long SHORT_TIMEOUT_MILLIS = 300;

    /** Half of it is longer than a busy machine holds the other answers up. */
    private static final long MEDIUM_TIMEOUT_MILLIS = 4_000;

    private static final long LONG_TIMEOUT_MILLIS = 20_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("silent-peers").build();
    private final List<SilencingRelay> relays = new ArrayList<>();
    private NodeClients clients;

    @BeforeEach
    void start() throws IOException {
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "silent-peers");
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
    void once_a_connection_is_found_silent_those_not_heard_since_are_not_used_again() {
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
    void a_connection_that_answered_while_another_was_silent_is_kept() {
        askAll();
        relays.get(0).silence();
        CompletableFuture<NodeReply> lost = askAsync(0, MEDIUM_TIMEOUT_MILLIS);
        while (!lost.isDone()) {
            ask(1, LONG_TIMEOUT_MILLIS);
        }
        ask(1, LONG_TIMEOUT_MILLIS);
        assertThat(relays.get(1).openedConnections()).isEqualTo(1);
    }

    @Test
    void a_connection_that_went_silent_after_answers_to_later_questions_is_not_used_again() {
        // the connection is open first: while it is made, the second question goes out before the first
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

    /** Answers every question but those for manifests. */
    private static Promise<NodeReply> answer(NodeRequest request) {
        return request instanceof NodeRequest.GetManifest
                ? new SettablePromise<>()
                : Promise.of(new NodeReply.Acknowledged());
    }
}
