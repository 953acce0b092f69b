package org.bankturn.daemon.target;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.bankturn.daemon.BackendClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies of requests that fill the memory of a target process, or use up its slots. */
@Timeout(30)
class TargetServletBodyTest {
    private static final String HEAD = "POST /x HTTP/1.1\r\nHost: h\r\n";
    private static final int WRITE_BYTES = 64 << 10;
    private static final int ENDLESS_BYTES = 64 << 20;

    /** The bound of a body and what the sockets of both sides hold. */
    private static final int MAX_TAKEN_BYTES = 24 << 20;

    private static final int MAX_POLLS = 200;
    private static final long POLL_MILLIS = 20;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("target-servlet-test").build();
    private final Address address = FreeAddresses.next();
    private final TargetServlet servlet = new TargetServlet(
            BackendClient.on(reactor),
            FreeAddresses.next().toString(),
            Telemetry.of("test", false),
            List::of,
            () -> false,
            () -> 2);

    @BeforeEach
    void listen() {
        reactor.keepAlive(true);
        new Thread(reactor, "target-servlet-test").start();
        HttpServer server = HttpServer.builder(reactor, servlet)
                .withListenAddress(address.toSocketAddress())
                .build();
        reactor.submit(() -> {
                    server.listen();
                    return Promise.complete();
                })
                .join();
    }

    @AfterEach
    void stopReactor() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2000000000\r\n\r\n|x", "Transfer-Encoding: chunked\r\n\r\n|4\r\nxxxx\r\n"})
    void a_body_without_end_is_given_up_at_its_bound(String request) throws Exception {
        int bar = request.indexOf('|');
        String unit = request.substring(bar + 1);
        byte[] part = unit.repeat(1 + WRITE_BYTES / unit.length()).getBytes(StandardCharsets.ISO_8859_1);
        assertThat(sendUntilClosed(HEAD + request.substring(0, bar), part)).isLessThan(MAX_TAKEN_BYTES);
        awaitNoneRunning();
    }

    @Test
    void a_request_whose_sender_breaks_its_body_off_uses_no_slot() throws Exception {
        for (int number = 0; number < 3; number++) {
            try (Socket socket = new Socket(address.host(), address.port())) {
                write(socket, HEAD + "Content-Length: 10\r\n\r\nab");
                awaitRunning(1);
            }
            awaitNoneRunning();
        }
    }

    private long sendUntilClosed(String start, byte[] part) throws IOException {
        long taken = 0;
        try (Socket socket = new Socket(address.host(), address.port())) {
            write(socket, start);
            OutputStream output = socket.getOutputStream();
            while (taken < ENDLESS_BYTES) {
                output.write(part);
                taken += part.length;
            }
        } catch (IOException e) {
            // the target process has closed the connection
        }
        return taken;
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void awaitNoneRunning() throws InterruptedException {
        awaitRunning(0);
    }

    private void awaitRunning(int expected) throws InterruptedException {
        for (int poll = 0; poll < MAX_POLLS && running() != expected; poll++) {
            Thread.sleep(POLL_MILLIS);
        }
        assertThat(running()).isEqualTo(expected);
    }

    private int running() {
        return reactor.submit(() -> Promise.of(servlet.runningRequests())).join();
    }
}
