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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class HttpListenerTest {
    private static final int MAX_POLLS = 100;
    private static final long POLL_MILLIS = 50;
    private static final int LARGER_THAN_SOCKET_BUFFERS = 64 << 20;

    /** The number of parts in which the response is read, each one larger than the socket buffers. */
    private static final int SLOW_READS = 4;

    private static final long LONGER_THAN_SWEEP_MILLIS = 700;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("listener-test").build();
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Address address = FreeAddresses.next();

    /** The cause passed to the exchange whose client disconnected. */
    private final CompletableFuture<DisconnectCause> disconnect = new CompletableFuture<>();

    private HttpListener listener;

    @BeforeEach
    void startReactor() {
        reactor.keepAlive(true);
        new Thread(reactor, "listener-test").start();
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** A client that stops reading without closing must not hold its response in memory or delay shutdown. */
    @Test
    void a_connection_whose_client_stops_reading_is_closed() throws Exception {
        CountDownLatch responded = new CountDownLatch(1);
        listen(exchange -> {
            exchange.respond(HttpHead.response(200, List.of()), new byte[LARGER_THAN_SOCKET_BUFFERS]);
            responded.countDown();
        });
        try (Socket silent = sendRequest()) {
            assertThat(responded.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(activeRequests()).isEqualTo(1);
            for (int poll = 0; poll < MAX_POLLS && activeRequests() > 0; poll++) {
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis());
                Thread.sleep(POLL_MILLIS);
            }
            assertThat(activeRequests()).isZero();
            assertThat(silent.isClosed()).isFalse();
        }
    }

    /** Guards against a client that asks for the end of its connection, reads nothing and sends without end. */
    @Test
    void bytes_after_the_last_request_of_a_connection_are_not_kept() throws Exception {
        CountDownLatch responded = new CountDownLatch(1);
        listen(exchange -> {
            exchange.respond(HttpHead.response(200, List.of()), new byte[LARGER_THAN_SOCKET_BUFFERS]);
            responded.countDown();
        });
        try (Socket silent = send("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")) {
            assertThat(responded.await(10, TimeUnit.SECONDS)).isTrue();
            AtomicLong taken = new AtomicLong();
            CompletableFuture<Void> sender = CompletableFuture.runAsync(() -> sendUntilClosed(silent, taken));
            for (int poll = 0; poll < MAX_POLLS && !sender.isDone(); poll++) {
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis() / 20);
                Thread.sleep(POLL_MILLIS);
            }
            sender.get(10, TimeUnit.SECONDS);
            assertThat(taken).hasValueLessThan(LARGER_THAN_SOCKET_BUFFERS);
        }
    }

    private static void sendUntilClosed(Socket socket, AtomicLong taken) {
        byte[] part = new byte[64 << 10];
        try {
            while (taken.get() < LARGER_THAN_SOCKET_BUFFERS) {
                socket.getOutputStream().write(part);
                taken.addAndGet(part.length);
            }
        } catch (IOException e) {
            // the listener has closed the connection
        }
    }

    @Test
    void a_client_that_reads_slowly_receives_its_whole_response() throws Exception {
        listen(exchange -> exchange.respond(HttpHead.response(200, List.of()), new byte[LARGER_THAN_SOCKET_BUFFERS]));
        try (Socket slow = sendRequest()) {
            InputStream input = slow.getInputStream();
            int received = 0;
            while (received < LARGER_THAN_SOCKET_BUFFERS) {
                int read = input.readNBytes(LARGER_THAN_SOCKET_BUFFERS / SLOW_READS).length;
                assertThat(read).isEqualTo(LARGER_THAN_SOCKET_BUFFERS / SLOW_READS);
                received += read;
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis() * 3 / 4);
                Thread.sleep(LONGER_THAN_SWEEP_MILLIS);
            }
        }
    }

    /** Guards against the last response of a connection being cut because its client does not close it at once. */
    @Test
    void a_client_that_reads_slowly_during_a_planned_stop_receives_its_whole_response() throws Exception {
        listen(exchange -> {
            listener.drain();
            exchange.respond(HttpHead.response(200, List.of()), new byte[LARGER_THAN_SOCKET_BUFFERS]);
        });
        try (Socket slow = sendRequest()) {
            InputStream input = slow.getInputStream();
            for (int part = 0; part < SLOW_READS; part++) {
                int read = input.readNBytes(LARGER_THAN_SOCKET_BUFFERS / SLOW_READS).length;
                assertThat(read).isEqualTo(LARGER_THAN_SOCKET_BUFFERS / SLOW_READS);
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis() * 3 / 4);
                Thread.sleep(LONGER_THAN_SWEEP_MILLIS);
            }
        }
    }

    @Test
    void a_client_that_stops_reading_a_stream_is_told_apart_from_one_that_left() throws Exception {
        CountDownLatch started = listenWithStream(new byte[LARGER_THAN_SOCKET_BUFFERS]);
        try (Socket silent = sendRequest()) {
            assertThat(started.await(10, TimeUnit.SECONDS)).isTrue();
            for (int poll = 0; poll < MAX_POLLS && !disconnect.isDone(); poll++) {
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis());
                Thread.sleep(POLL_MILLIS);
            }
            assertThat(disconnect.get(10, TimeUnit.SECONDS)).isEqualTo(DisconnectCause.WRITE_TIMEOUT);
            assertThat(silent.isClosed()).isFalse();
        }
    }

    @Test
    void a_client_that_closes_its_connection_is_told_apart_from_a_failed_connection() throws Exception {
        CountDownLatch started = listenWithStream(new byte[1]);
        try (Socket client = sendRequest()) {
            assertThat(started.await(10, TimeUnit.SECONDS)).isTrue();
            client.shutdownOutput();
            assertThat(disconnect.get(10, TimeUnit.SECONDS)).isEqualTo(DisconnectCause.CLOSED_BY_CLIENT);
        }
    }

    @Test
    void a_connection_that_is_reset_is_told_apart_from_a_closed_one() throws Exception {
        CountDownLatch started = listenWithStream(new byte[1]);
        try (Socket client = sendRequest()) {
            assertThat(started.await(10, TimeUnit.SECONDS)).isTrue();
            client.setSoLinger(true, 0);
        }
        assertThat(disconnect.get(10, TimeUnit.SECONDS)).isEqualTo(DisconnectCause.CONNECTION_FAILED);
    }

    @Test
    void a_response_cut_off_by_the_closed_listener_is_told_apart_from_a_client_that_left() throws Exception {
        CountDownLatch started = listenWithStream(new byte[1]);
        try (Socket client = sendRequest()) {
            assertThat(started.await(10, TimeUnit.SECONDS)).isTrue();
            reactor.submit(() -> {
                        listener.close();
                        return Promise.complete();
                    })
                    .join();
            assertThat(disconnect.get(10, TimeUnit.SECONDS)).isEqualTo(DisconnectCause.SHUTDOWN);
            assertThat(client.isClosed()).isFalse();
        }
    }

    // ---- fixture

    /** Listens and starts a response that is never completed; the latch is released once it is started. */
    private CountDownLatch listenWithStream(byte[] chunk) throws IOException {
        CountDownLatch started = new CountDownLatch(1);
        listen(exchange -> {
            exchange.onClientDisconnect(disconnect::complete);
            exchange.startChunkedResponse(HttpHead.response(200, List.of()));
            exchange.writeChunk(chunk);
            started.countDown();
        });
        return started;
    }

    private void listen(HttpHandler handler) {
        listener = HttpListener.create(reactor, clock, address.toSocketAddress(), () -> ServerLimits.CONTROL, handler);
        reactor.submit(() -> {
                    listener.listen();
                    return Promise.complete();
                })
                .join();
    }

    private Socket sendRequest() throws IOException {
        return send("GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
    }

    private Socket send(String request) throws IOException {
        Socket socket = new Socket(address.host(), address.port());
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return socket;
    }

    private int activeRequests() {
        return reactor.submit(() -> Promise.of(listener.activeRequests())).join();
    }
}
