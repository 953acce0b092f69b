package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no response being taken for the answer of an engine, an origin or a health check. */
@Timeout(20)
class MalformedCallResponseTest {
    private static final long TIMEOUT_MILLIS = 10_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("http-client-test").build();

    @BeforeEach
    void startReactor() {
        reactor.keepAlive(true);
        new Thread(reactor, "http-client-test").start();
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK\r\nNa me: x\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nNa\0me: x\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nName: \1\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            })
    void a_malformed_response_fails_the_call_and_ends_its_connection(String response) throws Exception {
        assertFails(response);
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "600", "999", "20", "2000", "0200", "2x0", "+20", "+200", "101"})
    void an_invalid_status_fails_the_call_and_ends_its_connection(String status) throws Exception {
        assertFails("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok");
    }

    private void assertFails(String response) throws IOException {
        try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            PooledHttpClient client = PooledHttpClient.on(reactor, Clock.system());
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), server.getLocalPort());
            CompletableFuture<PooledHttpClient.Response> call = reactor.submit(
                    () -> client.call(address, HttpHead.request("GET", "/x", List.of()), new byte[0], TIMEOUT_MILLIS));
            try (Socket socket = server.accept()) {
                socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
                assertThatThrownBy(call::join).hasMessageContaining("MALFORMED");
                while (socket.getInputStream().read() >= 0) {
                    // the request
                }
            }
        }
    }
}
