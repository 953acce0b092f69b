package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends large messages and small ones to a peer that transfers large ones slowly or not at all. */
@Timeout(60)
class LargeMessagesTest {
    private static final long TIMEOUT_MILLIS = 1_000;

    private static final long STEP_MILLIS = 600;

    private static final int STEPS = 6;

    /** More than the steps and the buffers of both sockets take. */
    private static final int LARGE_BYTES = 2 * STEPS * ScriptedPeer.STEP_BYTES;

    private static final long REPLY_SECONDS = 20;

    private static final int MAX_STEPS_UNTIL_SILENT = 100;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.builder()
            .withThreadName("large-messages-test")
            .withTimeProvider(clock::millis)
            .build();
    private final AtomicInteger silentConnections = new AtomicInteger();
    private NodeClients clients;
    private ScriptedPeer peer;

    @BeforeEach
    void start() throws IOException {
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "large-messages-test");
        thread.setDaemon(true);
        thread.start();
        clients = NodeClients.on(
                reactor, clock, (address, silentMillis, established) -> silentConnections.incrementAndGet());
        peer = ScriptedPeer.start(new NodeReply.Chunk(new byte[LARGE_BYTES], false));
    }

    @AfterEach
    void stop() throws IOException {
        reactor.breakEventloop();
        peer.close();
    }

    /** Guards against heartbeats and votes that wait until a box on a slow link has received a batch. */
    @Test
    void small_messages_are_answered_while_a_large_one_is_under_way() throws Exception {
        CompletableFuture<NodeReply> large = ask(append(LARGE_BYTES));
        peer.awaitLargeMessage();
        assertThat(reply(ask(append(1)))).isInstanceOf(NodeReply.Acknowledged.class);
        assertThat(reply(ask(new NodeRequest.GetLoad()))).isInstanceOf(NodeReply.Acknowledged.class);
        assertThat(large).isNotDone();
        assertThat(peer.connections()).isEqualTo(2);
    }

    /** Guards against a second file descriptor for each peer of a process that sends nothing large. */
    @Test
    void small_messages_share_one_connection() throws Exception {
        for (int count = 0; count < 3; count++) {
            assertThat(reply(ask(append(1)))).isInstanceOf(NodeReply.Acknowledged.class);
        }
        assertThat(peer.connections()).isEqualTo(1);
    }

    /** Guards against a batch that a slow link never delivers, since it is cut and sent anew. */
    @Test
    void large_message_is_not_cut_while_the_peer_takes_it() throws Exception {
        CompletableFuture<NodeReply> large = ask(append(LARGE_BYTES));
        peer.awaitLargeMessage();
        moveSlowly();
        peer.runFreely();
        assertThat(reply(large)).isInstanceOf(NodeReply.Acknowledged.class);
        assertThat(peer.lostConnections()).isZero();
    }

    /** Guards against an update that a slow link never delivers, since its connection is closed and it is asked for anew. */
    @Test
    void large_reply_is_not_cut_while_it_is_received() throws Exception {
        CompletableFuture<NodeReply> large = ask(new NodeRequest.WatchPublication(0, 0));
        peer.awaitLargeMessage();
        moveSlowly();
        peer.runFreely();
        assertThat(reply(large)).isInstanceOf(NodeReply.Chunk.class);
        assertThat(peer.lostConnections()).isZero();
    }

    /** Guards against replies that wait until an update of the published state has been received. */
    @Test
    void requests_with_small_replies_do_not_wait_for_the_large_reply_to_another() throws Exception {
        CompletableFuture<NodeReply> first = ask(new NodeRequest.WatchPublication(0, 0));
        peer.awaitLargeMessage();
        for (int sent = 0; sent <= LARGE_BYTES; sent += ScriptedPeer.STEP_BYTES) {
            peer.step();
        }
        reply(first);
        CompletableFuture<NodeReply> next = ask(new NodeRequest.WatchPublication(0, 0));
        peer.awaitLargeMessage();
        assertThat(reply(ask(new NodeRequest.GetLoad()))).isInstanceOf(NodeReply.Acknowledged.class);
        assertThat(next).isNotDone();
    }

    /** Guards against a peer that vanished without a reset and that large messages hide. */
    @Test
    void connection_that_takes_no_part_of_a_large_message_is_given_up() throws Exception {
        CompletableFuture<NodeReply> large = ask(append(LARGE_BYTES));
        peer.awaitLargeMessage();
        for (int step = 0; !large.isDone(); step++) {
            assertThat(step).isLessThan(MAX_STEPS_UNTIL_SILENT);
            clock.advance(TIMEOUT_MILLIS);
            turn();
        }
        assertThat(large).isCompletedExceptionally();
        assertThat(silentConnections).hasValue(1);
    }

    /** Lets the large message proceed for several timeouts. */
    private void moveSlowly() throws InterruptedException {
        for (int step = 0; step < STEPS; step++) {
            peer.step();
            turn();
            clock.advance(STEP_MILLIS);
            turn();
        }
    }

    /** Waits until the reactor has waited for input and output once more. */
    private void turn() {
        for (int count = 0; count < 3; count++) {
            reactor.submit(() -> Promise.complete()).join();
        }
    }

    private CompletableFuture<NodeReply> ask(NodeRequest request) {
        return clients.askFromAnyThread(peer.address(), request, TIMEOUT_MILLIS);
    }

    private static NodeReply reply(CompletableFuture<NodeReply> future) throws Exception {
        return future.get(REPLY_SECONDS, TimeUnit.SECONDS);
    }

    private static NodeRequest append(int bytes) {
        Member leader = new Member("a", 1, "a");
        return new NodeRequest.DeliverRaftMessage(
                new RaftMessage.AppendRequest(leader, 1, 0, 0, List.of(new LogEntry(1, 1, new byte[bytes], null)), 0));
    }
}
