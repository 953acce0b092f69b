package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Sends to processes that do not read, and to one that is down. */
@Timeout(60)
class UnsentMessagesTest {
    private static final int MAX_UNSENT_BYTES = 1 << 20;
    private static final int MESSAGE_BYTES = MAX_UNSENT_BYTES / 4;
    private static final int ADMITTED_AT_ONCE = 4;
    private static final int MESSAGES_PER_ROUND = 20;
    private static final int ROUNDS = 20;
    private static final int SOCKET_BUFFER_BYTES = 64 << 10;

    /** More than the buffers of two sockets on loopback take. */
    private static final int MAX_BYTES_IN_SOCKETS = 16 << 20;

    private static final int REPLIES = 200;
    private static final long TIMEOUT_MILLIS = 1_000;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.builder()
            .withThreadName("unsent-messages-test")
            .withTimeProvider(clock::millis)
            .build();
    private final AtomicInteger dropped = new AtomicInteger();
    private NodeClients clients;
    private ServerSocket listener;

    private final class DropCounter implements ConnectionObserver {
        @Override
        public void onSilentConnection(Address address, long silentMillis, boolean established) {}

        @Override
        public void onMessageDropped(String peer, boolean reply, int bytes, long unsentBytes) {
            dropped.incrementAndGet();
        }
    }

    @BeforeEach
    void start() throws IOException {
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "unsent-messages-test");
        thread.setDaemon(true);
        thread.start();
        clients = NodeClients.on(reactor, clock, new DropCounter(), MAX_UNSENT_BYTES);
        listener = new ServerSocket();
        listener.setReceiveBufferSize(SOCKET_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws IOException {
        reactor.breakEventloop();
        listener.close();
    }

    /** Guards against messages that fill the memory while a connection is being opened. */
    @Test
    void messages_that_wait_for_a_connection_are_bounded() {
        Address peer = new Address("127.0.0.1", listener.getLocalPort());
        assertThat(countAdmitted(peer)).isEqualTo(ADMITTED_AT_ONCE);
        assertThat(dropped).hasValue(MESSAGES_PER_ROUND - ADMITTED_AT_ONCE);
    }

    /** Guards against messages that fill the memory while their receiver does not read. */
    @Test
    void messages_to_a_process_that_does_not_read_are_bounded() {
        Address peer = new Address("127.0.0.1", listener.getLocalPort());
        int admitted = 0;
        for (int round = 0; round < ROUNDS; round++) {
            admitted += countAdmitted(peer);
        }
        assertThat(admitted * MESSAGE_BYTES).isLessThan(MAX_UNSENT_BYTES + MESSAGE_BYTES + MAX_BYTES_IN_SOCKETS);
        assertThat(dropped).hasValue(ROUNDS * MESSAGES_PER_ROUND - admitted);
    }

    /** Guards against heartbeats that are dropped because a batch waits. */
    @Test
    void small_messages_are_admitted_when_no_large_ones_are() {
        Address peer = new Address("127.0.0.1", listener.getLocalPort());
        countAdmitted(peer);
        boolean refused = onReactor(() ->
                clients.ask(peer, new NodeRequest.GetLoad(), TIMEOUT_MILLIS).isException());
        assertThat(refused).isFalse();
    }

    /** Guards against a process that gets no messages any more once it was down. */
    @Test
    void messages_to_a_process_that_is_down_are_let_go() {
        Address down = FreeAddresses.next();
        for (int round = 0; round < ROUNDS; round++) {
            List<CompletableFuture<NodeReply>> replies = new ArrayList<>();
            for (int count = 0; count < ADMITTED_AT_ONCE; count++) {
                replies.add(clients.askFromAnyThread(down, message(), TIMEOUT_MILLIS));
            }
            assertThat(replies)
                    .allSatisfy(reply -> assertThatThrownBy(reply::join).isNotNull());
        }
        assertThat(dropped).hasValue(0);
    }

    /** Guards against replies that fill the memory while the process that asked does not read. */
    @Test
    void replies_to_a_process_that_does_not_read_are_bounded() throws Exception {
        Address address = FreeAddresses.next();
        NodeReply large = new NodeReply.Piece(new byte[MESSAGE_BYTES]);
        reactor.submit(() -> {
                    NodeServer.create(
                                    reactor,
                                    clock,
                                    address,
                                    request -> Promise.of(large),
                                    new DropCounter(),
                                    new NodeServer.Limits(MAX_UNSENT_BYTES, ReceiveBudget.shared()))
                            .listen();
                    return Promise.complete();
                })
                .join();
        try (Socket client = new Socket(address.host(), address.port())) {
            DataOutputStream output = new DataOutputStream(client.getOutputStream());
            for (int request = 0; request < REPLIES; request++) {
                byte[] payload =
                        MessagePackCodec.instance().encode(new Frame(request, new NodeRequest.GetLoad(), null));
                output.writeInt(payload.length);
                output.write(payload);
            }
            DataInputStream input = new DataInputStream(client.getInputStream());
            while (dropped.get() == 0) {
                Thread.sleep(1);
            }
            int failed = 0;
            for (int reply = 0; reply < REPLIES; reply++) {
                byte[] payload = input.readNBytes(input.readInt());
                Frame frame = MessagePackCodec.instance().decode(payload, Frame.class);
                failed += frame.reply() instanceof NodeReply.Failed ? 1 : 0;
            }
            assertThat(failed).isPositive().isEqualTo(dropped.get());
        }
    }

    /** Sends messages within one task of the reactor and returns how many of them did not fail at once. */
    private int countAdmitted(Address peer) {
        return onReactor(() -> {
            List<Promise<NodeReply>> replies = new ArrayList<>();
            for (int count = 0; count < MESSAGES_PER_ROUND; count++) {
                replies.add(clients.ask(peer, message(), TIMEOUT_MILLIS));
            }
            return (int) replies.stream().filter(reply -> !reply.isException()).count();
        });
    }

    private <T> T onReactor(Supplier<T> task) {
        return reactor.<T>submit(() -> Promise.of(task.get())).join();
    }

    private static NodeRequest message() {
        return new NodeRequest.GetManifest("m".repeat(MESSAGE_BYTES));
    }
}
