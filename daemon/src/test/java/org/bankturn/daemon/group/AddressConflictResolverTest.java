package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpServer;
import io.activej.eventloop.Eventloop;
import java.io.IOException;
import java.util.Optional;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.registry.TargetSighting;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Two starts announced the same address, and nothing in their words told which one lives. Whoever answers there by name
 * does; where nobody can be asked, the one that goes on speaking.
 */
@Timeout(30)
class AddressConflictResolverTest {
    private static final long HEARTBEAT_MILLIS = 1_000;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final Eventloop reactor = Eventloop.create();
    private final AddressConflictResolver addresses = AddressConflictResolver.of(
            reactor, clock, new PlainControlDialect(), DecisionLog.start("test", clock), HEARTBEAT_MILLIS);
    private HttpServer server;

    @AfterEach
    void stop() {
        if (server != null) {
            server.stop(0);
        }
    }

    @Test
    void the_start_that_answers_at_the_address_is_there_and_any_other_is_not() throws IOException {
        Address address = serve("later");
        assertThat(ownsAddress("later", address, Optional.of("/health"))).isTrue();
        assertThat(ownsAddress("former", address, Optional.of("/health"))).isFalse();
        clock.advance(2 * HEARTBEAT_MILLIS);
        assertThat(ownsAddress("former", address, Optional.of("/health"))).isFalse();
    }

    @Test
    void where_nobody_answers_a_start_is_there_that_speaks_again_a_heartbeat_later() throws IOException {
        Address address = FreeAddresses.next();
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isFalse();
        clock.advance(HEARTBEAT_MILLIS / 10);
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isFalse();
        clock.advance(HEARTBEAT_MILLIS);
        assertThat(ownsAddress("a", address, Optional.of("/health"))).isTrue();
    }

    @Test
    void a_start_of_a_service_that_is_not_known_must_go_on_speaking() throws IOException {
        Address address = serve("a");
        assertThat(ownsAddress("a", address, Optional.empty())).isFalse();
        clock.advance(HEARTBEAT_MILLIS);
        assertThat(ownsAddress("a", address, Optional.empty())).isTrue();
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
        TargetSighting word = new TargetSighting(name, "chat", address.toString(), "north", 4, false, 1, 1);
        boolean[] there = new boolean[1];
        reactor.post(() -> addresses
                .ownsAddress(word, healthPath)
                .whenResult(found -> there[0] = found)
                .whenComplete(reactor::breakEventloop));
        reactor.keepAlive(true);
        reactor.run();
        return there[0];
    }
}
