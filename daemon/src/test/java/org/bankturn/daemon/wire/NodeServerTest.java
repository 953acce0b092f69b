package org.bankturn.daemon.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.Socket;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(30)
class NodeServerTest {
    private static final int READ_TIMEOUT_MILLIS = 15_000;
    private static final long SILENT_MILLIS = 60_000;

    /** Connections whose clients vanished without closing them must not accumulate and exhaust file descriptors. */
    @Test
    void a_silent_connection_is_closed() throws Exception {
        Eventloop reactor =
                Eventloop.builder().withThreadName("node-server-test").build();
        ManualClock clock = ManualClock.startingAt(1_000_000);
        Address address = FreeAddresses.next();
        reactor.keepAlive(true);
        new Thread(reactor, "node-server-test").start();
        reactor.submit(() -> {
                    NodeServer.create(
                                    reactor,
                                    clock,
                                    address,
                                    request -> Promise.of(new NodeReply.Acknowledged()),
                                    ConnectionObserver.NONE)
                            .listen();
                    return Promise.complete();
                })
                .join();
        try (Socket silent = new Socket(address.host(), address.port())) {
            NodeReply reply = NodeClients.on(reactor)
                    .askFromAnyThread(address, new NodeRequest.GetLoad(), 10_000)
                    .join();
            assertThat(reply).isInstanceOf(NodeReply.Acknowledged.class);
            silent.setSoTimeout(READ_TIMEOUT_MILLIS);
            clock.advance(SILENT_MILLIS);
            assertThat(silent.getInputStream().read()).isNegative();
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }
}
