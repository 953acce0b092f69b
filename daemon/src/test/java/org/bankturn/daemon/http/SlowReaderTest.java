package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that output which clients do not read is bounded, and that only clients that stopped reading lose theirs. */
@Timeout(20)
class SlowReaderTest {
    /** Larger than the socket buffers of both ends together. */
    private static final int RESPONSE_BYTES = 32 << 20;

    private static final int SMALL_BUFFER_BYTES = 4 << 10;

    private static final long UNBOUNDED = Long.MAX_VALUE;
    private static final long CONNECTION_BYTES = 1 << 20;
    private static final long LONGER_THAN_SWEEP_MILLIS = 1_500;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("slow-reader-test").build();
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Address address = FreeAddresses.next();

    /** The causes for which the connections of streams ended. */
    private final List<DisconnectCause> disconnects = new CopyOnWriteArrayList<>();

    /** The output of each connection that was closed because its client did not read. */
    private final List<Long> closedWithBytes = new CopyOnWriteArrayList<>();

    private final CompletableFuture<DisconnectCause> undelivered = new CompletableFuture<>();

    private HttpListener listener;

    @BeforeEach
    void startReactor() {
        reactor.keepAlive(true);
        new Thread(reactor, "slow-reader-test").start();
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** Guards against a caller that stops reading holding the output of a fast target until the write times out. */
    @Test
    void stream_whose_client_stopped_reading_is_closed_above_the_bound_of_a_connection() throws Exception {
        listen(new SendQueueLimits(CONNECTION_BYTES, UNBOUNDED, UNBOUNDED));
        try (Socket silent = request("/stream")) {
            awaitQueued(RESPONSE_BYTES / 2);
            advanceAfterEachProgressUntil(() -> !disconnects.isEmpty());
            assertThat(disconnects).containsExactly(DisconnectCause.SLOW_READER);
            assertThat(closedWithBytes)
                    .singleElement()
                    .satisfies(bytes -> assertThat(bytes).isGreaterThan(CONNECTION_BYTES));
            assertThat(listener.queuedOutputBytes()).isZero();
            assertThat(readAll(silent)).isLessThan(RESPONSE_BYTES);
        }
    }

    /** Guards against a complete response that waits in the queue not being bounded, or not being reported. */
    @Test
    void complete_response_whose_client_stopped_reading_is_closed_and_reported_as_undelivered() throws Exception {
        listen(new SendQueueLimits(UNBOUNDED, CONNECTION_BYTES, UNBOUNDED));
        try (Socket silent = request("/whole")) {
            awaitQueued(RESPONSE_BYTES / 2);
            advanceAfterEachProgressUntil(undelivered::isDone);
            assertThat(undelivered.get()).isEqualTo(DisconnectCause.SLOW_READER);
            assertThat(readAll(silent)).isLessThan(RESPONSE_BYTES);
        }
    }

    /** Guards against a large response to a client that reads being truncated because it is queued all at once. */
    @Test
    void client_that_reads_receives_a_response_larger_than_the_bounds() throws Exception {
        listen(new SendQueueLimits(CONNECTION_BYTES, CONNECTION_BYTES, UNBOUNDED));
        try (Socket client = request("/whole")) {
            assertThat(readAll(client)).isGreaterThan(RESPONSE_BYTES);
            assertThat(closedWithBytes).isEmpty();
        }
    }

    /** Guards against clients that stop reading being kept until the clock says so while memory runs out. */
    @Test
    void client_that_has_not_read_for_the_longest_time_is_closed_at_once_above_the_hard_bound() throws Exception {
        listen(new SendQueueLimits(UNBOUNDED, CONNECTION_BYTES, RESPONSE_BYTES + CONNECTION_BYTES));
        try (Socket first = requestWithSmallBuffer("/whole")) {
            awaitQueued(RESPONSE_BYTES / 2);
            awaitReactor();
            clock.advance(1);
            try (Socket second = request("/stream")) {
                assertThat(undelivered.get(10, TimeUnit.SECONDS)).isEqualTo(DisconnectCause.SLOW_READER);
                assertThat(readAll(first)).isLessThan(RESPONSE_BYTES);
                assertThat(second.getInputStream().readNBytes(RESPONSE_BYTES)).hasSize(RESPONSE_BYTES);
                assertThat(closedWithBytes).hasSize(1);
                assertThat(disconnects).isEmpty();
            }
        }
    }

    /** Guards against clients being disconnected while the output for all of them is within the bounds. */
    @Test
    void client_that_stopped_reading_is_kept_within_the_bounds() throws Exception {
        listen(SendQueueLimits.forHeap(64L * 2 * RESPONSE_BYTES));
        try (Socket silent = request("/stream")) {
            awaitQueued(RESPONSE_BYTES / 2);
            clock.advance(SendQueueBudget.STOPPED_READING_MILLIS);
            Thread.sleep(LONGER_THAN_SWEEP_MILLIS);
            assertThat(closedWithBytes).isEmpty();
            assertThat(silent.getInputStream().readNBytes(RESPONSE_BYTES)).hasSize(RESPONSE_BYTES);
        }
    }

    // ---- fixture

    private void listen(SendQueueLimits limits) {
        listener = HttpListener.create(
                reactor,
                clock,
                address.toSocketAddress(),
                () -> ServerLimits.CONTROL,
                limits,
                BufferBudget.unlimited(),
                this::respond,
                new Recorder());
        reactor.submit(() -> {
                    listener.listen();
                    return Promise.complete();
                })
                .join();
    }

    /** Sends a whole response, or a stream that does not end. */
    private void respond(ServerExchange exchange) {
        HttpHead head = HttpHead.response(200, List.of());
        if (exchange.head().second().equals("/whole")) {
            exchange.respond(head, new byte[RESPONSE_BYTES]);
            return;
        }
        exchange.onClientDisconnect(disconnects::add);
        exchange.startChunkedResponse(head);
        exchange.writeChunk(new byte[RESPONSE_BYTES]);
    }

    /** Sends a request of a client whose kernel takes no more output once its small buffer is full. */
    private Socket requestWithSmallBuffer(String path) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        return request(socket, path);
    }

    private Socket request(String path) throws IOException {
        return request(new Socket(), path);
    }

    private Socket request(Socket socket, String path) throws IOException {
        socket.connect(address.toSocketAddress());
        socket.getOutputStream()
                .write(("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                        .getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    /** Waits until the reactor has handled the events that are ready, twice, as the first one may end within them. */
    private void awaitReactor() {
        for (int round = 0; round < 2; round++) {
            reactor.submit(() -> {
                        return Promise.complete();
                    })
                    .join();
        }
    }

    private void awaitQueued(long bytes) throws InterruptedException {
        while (listener.queuedOutputBytes() < bytes) {
            Thread.sleep(10);
        }
    }

    /**
     * Advances the clock by the time after which a client counts as not reading, once and again after each progress. The
     * kernel takes output for a client that does not read until its buffers are full, which restarts that time.
     */
    private void advanceAfterEachProgressUntil(BooleanSupplier condition) throws InterruptedException {
        long queuedBytes = 0;
        while (!condition.getAsBoolean()) {
            long newest = listener.queuedOutputBytes();
            if (newest > 0 && newest != queuedBytes) {
                queuedBytes = newest;
                clock.advance(SendQueueBudget.STOPPED_READING_MILLIS);
            }
            Thread.sleep(10);
        }
    }

    private static long readAll(Socket socket) {
        long size = 0;
        byte[] buffer = new byte[1 << 16];
        try {
            InputStream input = socket.getInputStream();
            for (int read = input.read(buffer); read >= 0; read = input.read(buffer)) {
                size += read;
            }
        } catch (IOException e) {
            // a connection reset ends the response
        }
        return size;
    }

    /** Records the connections that were closed for their clients' sake. */
    private final class Recorder implements InterruptionListener {
        @Override
        public void requestIncomplete(HttpHead request, int bodyBytes, DisconnectCause cause) {}

        @Override
        public void requestRejected(HttpHead request, int bodyBytes, int status) {}

        @Override
        public void requestTooLarge(HttpHead request, long bytes, BufferBound bound) {}

        @Override
        public void responseUndelivered(HttpHead request, long unsentBytes, DisconnectCause cause) {
            undelivered.complete(cause);
        }

        @Override
        public void readerTooSlow(long queuedBytes, long totalBytes, long unreadMillis) {
            closedWithBytes.add(queuedBytes);
        }
    }
}
