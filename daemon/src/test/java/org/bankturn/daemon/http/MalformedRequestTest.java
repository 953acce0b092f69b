package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no request being handled as one, with a line of them or with a body cut differently. */
@Timeout(20)
class MalformedRequestTest {
    private static final String REQUEST_LINE = "POST /x HTTP/1.1\r\nHost: h\r\n";

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("listener-test").build();
    private final Address address = FreeAddresses.next();
    private final AtomicInteger handled = new AtomicInteger();

    @BeforeEach
    void listen() {
        reactor.keepAlive(true);
        new Thread(reactor, "listener-test").start();
        HttpListener listener = HttpListener.create(
                reactor,
                ManualClock.startingAt(1_000_000),
                address.toSocketAddress(),
                () -> ServerLimits.CONTROL,
                exchange -> {
                    handled.incrementAndGet();
                    exchange.respond(HttpHead.response(200, List.of()), exchange.body());
                });
        reactor.submit(() -> {
                    listener.listen();
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
    @ValueSource(
            strings = {
                "Na me: x\r\nContent-Length: 2\r\n\r\nok",
                "Content Length: 2\r\n\r\nok",
                "Name : x\r\nContent-Length: 2\r\n\r\nok",
                "Name\t: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\0me: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\177me: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\rme: x\r\nContent-Length: 2\r\n\r\nok",
                "\nName: x\r\nContent-Length: 2\r\n\r\nok",
                ": x\r\nContent-Length: 2\r\n\r\nok",
                "Name\r\nContent-Length: 2\r\n\r\nok",
                "Name: x\r\n folded: y\r\nContent-Length: 2\r\n\r\nok",
                "Name: x\r\n\tfolded: y\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\0b\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\rb\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\n\nb\r\nContent-Length: 2\r\n\r\nok",
                "Content-Length: \0012\r\n\r\nok",
                "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
                "Content-Length: 2, 2\r\n\r\nok",
                "Content-Length: +2\r\n\r\nok",
                "Content-Length: -2\r\n\r\nok",
                "Content-Length:\r\n\r\nok",
                "Content-Length: 99999999999999999999\r\n\r\nok",
                "Transfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n+2\r\nok\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n2\nok\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n2\r\nok\1\r\n0\r\n\r\n",
                "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nNa me: x\r\n\r\n",
            })
    void a_malformed_request_is_rejected_and_not_handled(String rest) throws IOException {
        assertThat(exchange(REQUEST_LINE + rest)).startsWith("HTTP/1.1 400");
        assertThat(handled).hasValue(0);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK",
                "HTTP/1.1 /x HTTP/1.1",
                "PO(ST /x HTTP/1.1",
                "POST /x",
                "POST  HTTP/1.1",
                "POST  /x HTTP/1.1",
                "POST /x y HTTP/1.1",
                "POST /\0x HTTP/1.1",
                "POST /\tx HTTP/1.1",
                "POST /x HTTP/1.",
                "POST /x HTTP/1.10",
                "POST /x HTTP/2.0",
            })
    void an_invalid_request_line_is_rejected_and_not_handled(String line) throws IOException {
        assertThat(exchange(line + "\r\nHost: h\r\nContent-Length: 2\r\n\r\nok"))
                .startsWith("HTTP/1.1 400");
        assertThat(handled).hasValue(0);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                REQUEST_LINE + "Name: a\tb \u00e9\t\r\nEmpty:\r\nContent-Length: 2\r\n\r\nok",
                "\r\n" + REQUEST_LINE + "Content-Length: 2\r\n\r\nok",
                "POST /x HTTP/1.0\nContent-Length: 2\n\nok",
                REQUEST_LINE + "Transfer-Encoding: Chunked\r\n\r\n02;name=\"v\" \r\nok\r\n0\r\nName: x\r\n\r\n",
            })
    void a_well_formed_request_is_handled(String request) throws IOException {
        assertThat(exchange(request)).startsWith("HTTP/1.1 200").endsWith("ok");
        assertThat(handled).hasValue(1);
    }

    private String exchange(String request) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
