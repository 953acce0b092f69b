package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bankturn.service.RequestKind;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a status line that is none, such as one with the status 000, reaching the caller as an answer. */
class InvalidStatusTest extends GatewayFixture {
    private static final String REST = "Content-Length: 2\r\n\r\nok";

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 OK",
                "HTTP/1.1 099 OK",
                "HTTP/1.1 600 OK",
                "HTTP/1.1 999 OK",
                "HTTP/1.1 20 OK",
                "HTTP/1.1 2000 OK",
                "HTTP/1.1 0200 OK",
                "HTTP/1.1 2x0 OK",
                "HTTP/1.1 +20 OK",
                "HTTP/1.1 +200 OK",
                "HTTP/1.1 -200 OK",
                "HTTP/1.1  200 OK",
                "HTTP/1.1 200\tOK",
                "HTTP/1.1\t200 OK",
                "HTTP/1.1 200 O\0K",
                "HTTP/1.1 200 O\rK",
                "HTTP/1.1 101 Switching Protocols",
                "HTTP/1. 200 OK",
                "HTTP/1.x 200 OK",
                "HTTP/1.10 200 OK",
                "HTTP/2.0 200 OK",
                "http/1.1 200 OK",
                " HTTP/1.1 200 OK",
                "\r\nHTTP/1.1 200 OK",
                "\nHTTP/1.1 200 OK",
                "POST / HTTP/1.1",
                "HTTP/1.1 200 OK\r\nId: #\r\nName: x\r\n\nHTTP/1.1 200 OK",
            })
    void an_invalid_status_line_is_no_response(String line) throws Exception {
        CountDownLatch closed = new CountDownLatch(1);
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            try {
                ScriptedTarget.write(socket, line.replace("#", id) + "\r\nId: " + id + "\r\n" + REST);
                ScriptedTarget.awaitClose(socket);
            } finally {
                closed.countDown();
            }
            return false;
        }));
        publish(RequestKind.UNSAFE, 1, target);
        assertThat(call("POST", "r1", "x")).startsWith("HTTP/1.1 502");
        assertThat(closed.await(10, TimeUnit.SECONDS)).isTrue();
        assertThat(target.heads).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"200 OK", "200 ", "200", "299 Other", "404 Not Found", "499 Other", "500 Error", "599 Other"})
    void a_valid_status_line_reaches_the_caller(String status) throws Exception {
        publish(RequestKind.UNSAFE, 1, register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 " + status + "\r\nId: " + id + "\r\n" + REST);
            return true;
        })));
        assertThat(call("POST", "r1", "x"))
                .startsWith("HTTP/1.1 " + status.substring(0, 3))
                .endsWith("ok");
    }
}
