package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.lang.ref.WeakReference;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class NodeClientTest {
    private static final long SHORT_TIMEOUT_MILLIS = 200;
    private static final long LONG_TIMEOUT_MILLIS = 10_000;
    private static final long HOUR_MILLIS = 3_600_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("node-client-test").build();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    private final AtomicInteger connections = new AtomicInteger();
    private final Address server = FreeAddresses.next();
    private ServerSocket proxy;
    private NodeClients clients;

    @BeforeEach
    void start() throws IOException {
        reactor.keepAlive(true);
        new Thread(reactor, "node-client-test").start();
        reactor.submit(() -> {
                    NodeServer.create(reactor, server, request -> Promise.of(new NodeReply.Acknowledged()))
                            .listen();
                    return Promise.complete();
                })
                .join();
        proxy = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        clients = NodeClients.on(reactor);
        new Thread(this::acceptConnections, "proxy").start();
    }

    @AfterEach
    void stop() throws IOException {
        proxy.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** A network failure may leave open connections dead while new ones work. */
    @Test
    void a_silent_connection_is_replaced_by_a_new_one() {
        assertThatThrownBy(() -> ask(SHORT_TIMEOUT_MILLIS)).hasRootCauseMessage("Promise timeout");
        assertThat(ask(LONG_TIMEOUT_MILLIS)).isInstanceOf(NodeReply.Acknowledged.class);
        assertThat(connections).hasValue(2);
    }

    @Test
    void a_connection_that_answers_is_kept() {
        clients = NodeClients.on(reactor);
        connections.set(1);
        for (int count = 0; count < 3; count++) {
            assertThat(ask(LONG_TIMEOUT_MILLIS)).isInstanceOf(NodeReply.Acknowledged.class);
        }
        assertThat(connections).hasValue(2);
    }

    /** Guards against requests that have ended and fill the memory until their timeouts. */
    @Test
    void an_answered_request_is_let_go_before_its_timeout() throws InterruptedException {
        NodeRequest request = new NodeRequest.GetManifest("m".repeat(1_000));
        WeakReference<NodeRequest> answered = new WeakReference<>(request);
        assertThat(clients.askFromAnyThread(server, request, HOUR_MILLIS).join())
                .isInstanceOf(NodeReply.Acknowledged.class);
        request = null;
        while (answered.get() != null) {
            System.gc();
            Thread.sleep(10);
        }
    }

    private NodeReply ask(long timeoutMillis) {
        Address address = new Address("127.0.0.1", proxy.getLocalPort());
        return clients.askFromAnyThread(address, new NodeRequest.GetLoad(), timeoutMillis)
                .join();
    }

    /** Accepts the first connection without ever responding; forwards later ones to the server. */
    private void acceptConnections() {
        try {
            while (true) {
                Socket client = proxy.accept();
                sockets.add(client);
                if (connections.incrementAndGet() > 1) {
                    Socket backend = new Socket(server.host(), server.port());
                    sockets.add(backend);
                    forward(client, backend);
                    forward(backend, client);
                }
            }
        } catch (IOException e) {
            // the socket was closed
        }
    }

    private static void forward(Socket from, Socket to) {
        new Thread(
                        () -> {
                            try (InputStream input = from.getInputStream();
                                    OutputStream output = to.getOutputStream()) {
                                input.transferTo(output);
                            } catch (IOException e) {
                                // the socket was closed
                            }
                        },
                        "forwarder")
                .start();
    }
}
