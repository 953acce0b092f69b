package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class HttpCallsTest {
    /** A callee that takes few connections counts those that rest; after a loss of power they crowd out new ones. */
    @Test
    void a_connection_that_is_not_used_again_soon_is_closed() throws Exception {
        Eventloop reactor = Eventloop.builder().withThreadName("calls-test").build();
        reactor.keepAlive(true);
        new Thread(reactor, "calls-test").start();
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HttpCalls calls = HttpCalls.on(reactor, Clock.system());
            CompletableFuture<HttpCalls.Answer> answer = reactor.submit(() -> calls.call(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort()),
                    HttpHead.request("GET", "/x", List.of()),
                    new byte[0],
                    5_000));
            try (Socket socket = server.accept()) {
                BufferedReader input =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
                readHead(input);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(StandardCharsets.ISO_8859_1));
                assertThat(answer.join().body()).asString().isEqualTo("ok");
                assertThat(endsWithoutMore(input)).isTrue();
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
    private static boolean endsWithoutMore(BufferedReader input) {
        try {
            return input.read() < 0;
        } catch (java.io.IOException e) {
            return true;
        }
    }
}
