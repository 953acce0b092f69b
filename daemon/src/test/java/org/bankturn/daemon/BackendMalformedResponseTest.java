package org.bankturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no response, or have no end, being passed on by entry and target processes or kept in memory. */
@Timeout(30)
class BackendMalformedResponseTest {
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_TAKEN_BYTES = 32 << 20;
    private static final String OK = "HTTP/1.1 200 OK\r\n";

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("malformed-response").build();
    private final AtomicLong takenBytes = new AtomicLong();
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        reactor.keepAlive(true);
        new Thread(reactor, "malformed-response").start();
    }

    @AfterEach
    void stop() throws IOException {
        reactor.keepAlive(false);
        reactor.breakEventloop();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Na me: x\r\nContent-Length: 2\r\n\r\nok",
                "Content Length: 2\r\n\r\nok",
                "Name : x\r\nContent-Length: 2\r\n\r\nok",
                "Na\0me: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\177me: x\r\nContent-Length: 2\r\n\r\nok",
                "Na\rme: x\r\nContent-Length: 2\r\n\r\nok",
                ": x\r\nContent-Length: 2\r\n\r\nok",
                "Name\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\0b\r\nContent-Length: 2\r\n\r\nok",
                "Name: a\rb\r\nContent-Length: 2\r\n\r\nok",
                "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
                "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
                "Content-Length: 2, 2\r\n\r\nok",
                "Content-Length: +2\r\n\r\nok",
                "Content-Length: -2\r\n\r\nok",
                "Content-Length: 12\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            })
    void a_response_with_a_malformed_field_is_no_response(String rest) throws Exception {
        assertThat(exchange(OK + rest, "")).startsWith("failed");
    }

    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "100", "101", "600", "999", "20", "2x0", "+20", "+200"})
    void a_response_with_an_invalid_status_is_no_response(String status) throws Exception {
        assertThat(exchange("HTTP/1.1 " + status + " OK\r\nContent-Length: 2\r\n\r\nok", ""))
                .startsWith("failed");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                OK + "Name: x\r\n folded: y\r\nContent-Length: 2\r\n\r\nok",
                OK + "\nName: x\r\nContent-Length: 2\r\n\r\nok",
                "HTTP/1.1 2000 OK\r\nContent-Length: 2\r\n\r\nok",
            })
    void a_malformed_head_that_the_library_corrects_is_no_response(String response) throws Exception {
        assertThat(exchange(response, "")).startsWith("failed");
    }

    /** What precedes the bar is sent once, what follows it without end. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "|x",
                "|HTTP/1.1 100 Continue\r\n\r\n",
                OK + "|Name: x\r\n",
                OK + "Name: |x",
                OK + "\r\n|x",
                OK + "Content-Length: 3000000000\r\n\r\n|x",
                OK + "Transfer-Encoding: chunked\r\n\r\n|4\r\nxxxx\r\n",
                OK + "Transfer-Encoding: chunked\r\n\r\n|0",
            })
    void a_response_without_end_is_given_up_at_its_bound(String response) throws Exception {
        int bar = response.indexOf('|');
        assertThat(exchange(response.substring(0, bar), response.substring(bar + 1)))
                .startsWith("failed");
        assertThat(takenBytes).hasValueLessThan(MAX_TAKEN_BYTES);
    }

    @ParameterizedTest
    @ValueSource(strings = {"1;|e", "0\r\n|Name: x\r\n", "0\r\nName: |x"})
    void a_chunk_extension_or_trailer_without_end_is_given_up_at_its_bound(String body) throws Exception {
        int bar = body.indexOf('|');
        String start = OK + "Transfer-Encoding: chunked\r\n\r\n" + body.substring(0, bar);
        assertThat(exchange(start, body.substring(bar + 1))).startsWith("failed");
        assertThat(takenBytes).hasValueLessThan(MAX_TAKEN_BYTES);
    }

    private String exchange(String start, String repeated) throws Exception {
        Thread sender = new Thread(() -> serve(start, repeated), "malformed-server");
        sender.start();
        try {
            return reactor.submit(this::call).get();
        } catch (ExecutionException e) {
            return "failed: " + e.getCause();
        }
    }

    private Promise<String> call() {
        String url = "http://127.0.0.1:" + server.getLocalPort() + "/x";
        return Promises.timeout(
                TIMEOUT_MILLIS,
                BackendClient.on(reactor)
                        .send(HttpRequest.get(url).build())
                        .response()
                        .then(answer -> answer.loadBody(MAX_BODY_BYTES)
                                .map(body -> answer.getCode() + " " + body.getString(StandardCharsets.ISO_8859_1))));
    }

    private void serve(String start, String repeated) {
        try (Socket socket = server.accept()) {
            int unused = socket.getInputStream().read(new byte[4_096]);
            socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
            byte[] part = repeated.repeat(repeated.isEmpty() ? 0 : 1 + (64 << 10) / repeated.length())
                    .getBytes(StandardCharsets.ISO_8859_1);
            while (part.length > 0 && takenBytes.get() < MAX_TAKEN_BYTES) {
                socket.getOutputStream().write(part);
                takenBytes.addAndGet(part.length);
            }
        } catch (IOException e) {
            // the client has closed the connection
        }
    }
}
