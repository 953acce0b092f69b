package org.bankturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no request being served by entry, target and control processes. */
@Timeout(20)
class ServletMalformedRequestTest {
    private final Eventloop reactor =
            Eventloop.builder().withThreadName("servlet-test").build();
    private final Address address = FreeAddresses.next();
    private final AtomicInteger served = new AtomicInteger();

    @BeforeEach
    void listen() {
        reactor.keepAlive(true);
        new Thread(reactor, "servlet-test").start();
        HttpServer server = HttpServer.builder(
                        reactor,
                        MessageCheck.rejectingMalformed(request -> request.loadBody()
                                .then(body -> {
                                    served.incrementAndGet();
                                    return HttpResponse.ok200()
                                            .withBody(body.getArray())
                                            .toPromise();
                                })))
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
    @ValueSource(
            strings = {
                "Na me: x\r\nContent-Length: 2\r\n\r\nok",
                "Name : x\r\nContent-Length: 2\r\n\r\nok",
                "Na\0me: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\rme: x\r\nContent-Length: 2\r\n\r\nok",
                ": x\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\0b\r\nContent-Length: 2\r\n\r\nok",
                "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
                "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            })
    void a_malformed_request_is_not_served(String rest) throws IOException {
        assertThat(exchange(rest)).doesNotContain(" 200 ");
        assertThat(served).hasValue(0);
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    void a_well_formed_request_is_served(String rest) throws IOException {
        assertThat(exchange(rest)).startsWith("HTTP/1.1 200").endsWith("ok");
        assertThat(served).hasValue(1);
    }

    private String exchange(String rest) throws IOException {
        try (Socket socket = new Socket(address.host(), address.port())) {
            String request = "POST /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n" + rest;
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
