package org.bankturn.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.http.HttpRequest;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a response that its sender broke off being taken for a complete one with an empty or short body. */
@Timeout(30)
class CutResponseTest {
    private static final String BODY = "0123456789";

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("cut-response").build();
    private ServerSocket server;
    private volatile byte[] response;
    private volatile boolean resets;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread acceptor = new Thread(this::serve, "cutting-server");
        acceptor.setDaemon(true);
        acceptor.start();
        reactor.keepAlive(true);
        new Thread(reactor, "cut-response").start();
    }

    @AfterEach
    void stop() throws IOException {
        reactor.keepAlive(false);
        server.close();
    }

    @ParameterizedTest
    @CsvSource({"LENGTH, false", "LENGTH, true", "CHUNKED, false", "CHUNKED, true"})
    void a_response_cut_anywhere_is_not_complete(Framing framing, boolean byReset) throws Exception {
        resets = byReset;
        String whole = framing.response();
        for (int cut = 0; cut < whole.length(); cut++) {
            response = whole.substring(0, cut).getBytes(StandardCharsets.ISO_8859_1);
            assertThat(exchange()).as("cut after %s bytes", cut).startsWith("failed");
        }
    }

    @ParameterizedTest
    @CsvSource({"false", "true"})
    void a_head_cut_anywhere_is_no_response(boolean byReset) throws Exception {
        resets = byReset;
        String head = Framing.CLOSE.head();
        for (int cut = 0; cut < head.length(); cut++) {
            response = head.substring(0, cut).getBytes(StandardCharsets.ISO_8859_1);
            assertThat(exchange()).as("cut after %s bytes", cut).startsWith("failed");
        }
    }

    private enum Framing {
        LENGTH("Content-Length: " + BODY.length() + "\r\n", BODY),
        CHUNKED("Transfer-Encoding: chunked\r\n", "a\r\n" + BODY + "\r\n0\r\n\r\n"),
        CLOSE("", BODY);

        private final String field;
        private final String body;

        Framing(String field, String body) {
            this.field = field;
            this.body = body;
        }

        String head() {
            return "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n" + field + "Name: t1\r\n\r\n";
        }

        String response() {
            return head() + body;
        }
    }

    private String exchange() throws Exception {
        try {
            return reactor.submit(this::call).get();
        } catch (ExecutionException e) {
            return "failed: " + e.getCause();
        }
    }

    private Promise<String> call() {
        BackendClient client = BackendClient.on(reactor);
        String url = "http://127.0.0.1:" + server.getLocalPort() + "/x";
        return client.send(HttpRequest.post(url).withBody(new byte[] {1}).build())
                .response()
                .then(answer -> answer.loadBody()
                        .map(body -> answer.getCode() + " " + body.getString(StandardCharsets.ISO_8859_1)));
    }

    private void serve() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                readRequest(socket.getInputStream());
                socket.getOutputStream().write(response);
                socket.getOutputStream().flush();
                if (resets) {
                    // the bytes reach the other side before the reset does
                    Thread.sleep(2);
                    socket.setSoLinger(true, 0);
                }
            } catch (IOException e) {
                // the test closes the server
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private static void readRequest(InputStream input) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            head.append((char) input.read());
        }
        int unused = input.read();
    }
}
