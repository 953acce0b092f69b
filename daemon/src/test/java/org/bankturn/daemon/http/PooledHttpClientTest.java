package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
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

    /** A callee that takes few connections counts those that rest; after a loss of power they crowd out new ones. */
    @Test
    void an_idle_connection_is_closed() throws Exception {
        assertThat(isClosedWhenIdle(Clock.system())).isTrue();
    }

    /**
     * A connection was closed only if the clock said, when its rest was over, that a whole second had passed. The timer counts
     * from when the reactor's round began, a millisecond or more before the rest did on a busy machine, so that 999 ms had
     * passed and the connection stayed open for good; the test above once waited for its end for three minutes.
     */
    @Test
    void an_idle_connection_is_closed_when_the_clock_lags_the_timer() throws Exception {
        assertThat(isClosedWhenIdle(ManualClock.startingAt(1_000_000))).isTrue();
    }

    /** Makes a call, and tells whether its connection ends within a time that is far longer than its rest. */
    private static boolean isClosedWhenIdle(Clock clock) throws Exception {
        Eventloop reactor = Eventloop.builder().withThreadName("calls-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "calls-test").start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PooledHttpClient calls = PooledHttpClient.on(reactor, clock);
            CompletableFuture<PooledHttpClient.Response> answer = reactor.submit(() -> calls.call(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    HttpHead.request("GET", "/x", List.of()),
                    new byte[0],
                    5_000));
            try (Socket socket = server.accept()) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                BufferedReader input =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                readHead(input);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
                assertThat(answer.join().body()).asString().isEqualTo("ok");
                return reachesEndOfStream(input);
            }
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }

    private static void readHead(BufferedReader input) throws Exception {
        String line = input.readLine();
        while (line != null && !line.isEmpty()) {
            line = input.readLine();
        }
    }

    /** Reads until the other side closes, by an end or a reset. */
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
