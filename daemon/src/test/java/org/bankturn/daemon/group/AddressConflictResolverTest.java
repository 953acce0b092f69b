package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a delayed heartbeat of a crashed target displacing the live target at the same address. */
@Timeout(30)
class AddressConflictResolverTest {
    private static final long HEARTBEAT_MILLIS = 1_000;

    /** The bound of an answer and what the sockets of both sides hold. */
    private static final long MAX_TAKEN_BYTES = 12 << 20;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.create();
    private final AddressConflictResolver resolver = AddressConflictResolver.of(
            reactor, clock, new PlainHealthDialect(), DecisionLog.start("test", clock), HEARTBEAT_MILLIS);
    private HttpServer server;

    @AfterEach
    void stop() {
        if (server != null) {
            server.stop(0);
        }
    }

    @Test
    void the_incarnation_that_answers_at_the_address_owns_it() throws IOException {
        Address address = serve("later");
        assertThat(ownsAddress("later", address, Optional.of("/health"))).isTrue();
        assertThat(ownsAddress("former", address, Optional.of("/health"))).isFalse();
        clock.advance(2 * HEARTBEAT_MILLIS);
        assertThat(ownsAddress("former", address, Optional.of("/health"))).isFalse();
    }

    @Test
    void without_an_answer_an_incarnation_owns_the_address_after_a_further_heartbeat() throws IOException {
        Address address = FreeAddresses.next();
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isFalse();
        clock.advance(HEARTBEAT_MILLIS / 10);
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isFalse();
        clock.advance(HEARTBEAT_MILLIS);
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isTrue();
    }

    @Test
    void an_incarnation_of_an_unknown_service_owns_the_address_after_a_further_heartbeat() throws IOException {
        Address address = serve("a");
        assertThat(ownsAddress("a", address, Optional.empty())).isFalse();
        clock.advance(HEARTBEAT_MILLIS);
        assertThat(ownsAddress("a", address, Optional.empty())).isTrue();
    }

    /** Guards against a health answer without end that fills the memory of a control process. */
    @ParameterizedTest
    @ValueSource(strings = {"", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nName: a\r\n\r\n"})
    void an_answer_without_end_is_given_up_at_its_bound(String start) throws Exception {
        AtomicLong taken = new AtomicLong();
        try (ServerSocket endless = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Thread sender = new Thread(() -> sendWithoutEnd(endless, start, taken), "endless-target");
            sender.start();
            Address address = new Address("127.0.0.1", endless.getLocalPort());
            assertThat(ownsAddress("a", address, Optional.of("/health"))).isFalse();
            sender.join();
        }
        assertThat(taken).hasPositiveValue().hasValueLessThan(MAX_TAKEN_BYTES);
    }

    private static void sendWithoutEnd(ServerSocket server, String start, AtomicLong taken) {
        byte[] part = "x".repeat(64 << 10).getBytes(StandardCharsets.ISO_8859_1);
        try (Socket socket = server.accept()) {
            socket.getOutputStream().write(start.getBytes(StandardCharsets.ISO_8859_1));
            while (taken.get() < 4 * MAX_TAKEN_BYTES) {
                socket.getOutputStream().write(part);
                taken.addAndGet(part.length);
            }
        } catch (IOException e) {
            // the resolver has closed the connection
        }
    }

    private Address serve(String name) throws IOException {
        Address address = FreeAddresses.next();
        server = HttpServer.create(address.toSocketAddress(), 0);
        server.createContext("/health", exchange -> {
            exchange.getResponseHeaders().add("Name", name);
            exchange.sendResponseHeaders(200, -1);
            exchange.close();
        });
        server.start();
        return address;
    }

    private boolean ownsAddress(String name, Address address, Optional<String> healthPath) {
        TargetSighting sighting = new TargetSighting(name, "chat", address.toString(), "north", 4, false, 1, 1);
        boolean[] result = new boolean[1];
        reactor.post(() -> resolver.ownsAddress(sighting, healthPath)
                .whenResult(owns -> result[0] = owns)
                .whenComplete(reactor::breakEventloop));
        reactor.keepAlive(true);
        reactor.run();
        return result[0];
    }
}
