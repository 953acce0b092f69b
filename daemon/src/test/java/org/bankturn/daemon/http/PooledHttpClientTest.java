package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bankturn.time.Clock;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class PooledHttpClientTest {
    private static final int READ_TIMEOUT_MILLIS = 10_000;

    /** The thread of the client may hold a response for a moment after it was delivered. */
    private static final int MAX_COLLECTIONS = 50;

    /** Idle connections kept open would use up the connection limit of the server. */
    @Test
    void an_idle_connection_is_closed() throws Exception {
        assertThat(isClosedWhenIdle(Clock.system())).isTrue();
    }

    /** The timer may fire before the clock has advanced by the idle time; the connection must not stay open then. */
    @Test
    void an_idle_connection_is_closed_when_the_clock_lags_the_timer() throws Exception {
        assertThat(isClosedWhenIdle(ManualClock.startingAt(1_000_000))).isTrue();
    }

    /** Guards against the messages of calls that have ended being held until their timeouts. */
    @Test
    void the_response_of_a_call_that_ended_is_not_held_until_its_timeout() throws Exception {
        Eventloop reactor =
                Eventloop.builder().withThreadName("http-client-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "http-client-test").start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PooledHttpClient client = PooledHttpClient.on(reactor, Clock.system());
            WeakReference<PooledHttpClient.Response> response = answeredCall(server, reactor, client);
            for (int collection = 0; response.get() != null && collection < MAX_COLLECTIONS; collection++) {
                System.gc();
            }
            assertThat(response.get()).isNull();
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }

    /** Makes a call whose timeout exceeds that of the test, and returns its response. */
    private static WeakReference<PooledHttpClient.Response> answeredCall(
            ServerSocket server, Eventloop reactor, PooledHttpClient client) throws Exception {
        CompletableFuture<PooledHttpClient.Response> response = reactor.submit(() -> client.call(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                HttpHead.request("GET", "/x", List.of()),
                new byte[0],
                600_000));
        try (Socket socket = server.accept()) {
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            String unused = readHead(input);
            socket.getOutputStream()
                    .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
            return new WeakReference<>(response.join());
        }
    }

    /** Servers reject requests that name no host with 400. */
    @Test
    void a_call_names_the_host_unless_its_head_does() throws Exception {
        assertThat(headOf(List.of())).containsPattern("(?m)^Host: \\S+:\\d+$");
        assertThat(headOf(List.of(new HttpField("Host", "h"))))
                .contains("Host: h")
                .doesNotContainPattern("(?m)^Host: \\S+:\\d+$");
    }

    private static String headOf(List<HttpField> fields) throws Exception {
        Eventloop reactor =
                Eventloop.builder().withThreadName("http-client-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "http-client-test").start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PooledHttpClient client = PooledHttpClient.on(reactor, Clock.system());
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            CompletableFuture<PooledHttpClient.Response> unused = reactor.submit(() ->
                    client.call(address, HttpHead.request("GET", "/x", fields), new byte[0], READ_TIMEOUT_MILLIS));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                BufferedReader input =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                return readHead(input);
            }
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }

    /** Makes a call and returns true if its connection is closed before the read timeout. */
    private static boolean isClosedWhenIdle(Clock clock) throws Exception {
        Eventloop reactor =
                Eventloop.builder().withThreadName("http-client-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "http-client-test").start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PooledHttpClient client = PooledHttpClient.on(reactor, clock);
            CompletableFuture<PooledHttpClient.Response> response = reactor.submit(() -> client.call(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    HttpHead.request("GET", "/x", List.of()),
                    new byte[0],
                    5_000));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                BufferedReader input =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                String unused = readHead(input);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
                assertThat(response.join().body()).asString().isEqualTo("ok");
                return reachesEndOfStream(input);
            }
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }

    private static String readHead(BufferedReader input) throws IOException {
        StringBuilder head = new StringBuilder();
        String line = input.readLine();
        while (line != null && !line.isEmpty()) {
            head.append(line).append('\n');
            line = input.readLine();
        }
        return head.toString();
    }

    /** Returns true if the peer has closed or reset the connection, false on a read timeout. */
    private static boolean reachesEndOfStream(BufferedReader input) {
        try {
            return input.read() < 0;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
