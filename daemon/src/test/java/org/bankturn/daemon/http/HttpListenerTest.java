package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

@Timeout(20)
class HttpListenerTest {
    private static final int MAX_POLLS = 100;
    private static final long POLL_MILLIS = 50;
    private static final int LARGER_THAN_SOCKET_BUFFERS = 64 << 20;

    /** A client that stops reading without closing must not hold its response in memory or delay shutdown. */
    @Test
    void a_connection_whose_client_stops_reading_is_closed() throws Exception {
        Eventloop reactor = Eventloop.builder().withThreadName("listener-test").build();
        ManualClock clock = ManualClock.startingAt(1_000_000);
        Address address = FreeAddresses.next();
        CountDownLatch responded = new CountDownLatch(1);
        HttpListener listener =
                HttpListener.create(reactor, clock, address.toSocketAddress(), () -> ServerLimits.CONTROL, exchange -> {
                    exchange.respond(HttpHead.response(200, List.of()), new byte[LARGER_THAN_SOCKET_BUFFERS]);
                    responded.countDown();
                });
        reactor.keepAlive(true);
        new Thread(reactor, "listener-test").start();
        reactor.submit(() -> {
                    listener.listen();
                    return Promise.complete();
                })
                .join();
        try (Socket silent = new Socket(address.host(), address.port())) {
            silent.getOutputStream().write("GET /x HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            assertThat(responded.await(10, TimeUnit.SECONDS)).isTrue();
            assertThat(activeRequests(reactor, listener)).isEqualTo(1);
            for (int poll = 0; poll < MAX_POLLS && activeRequests(reactor, listener) > 0; poll++) {
                clock.advance(ServerLimits.CONTROL.idleTimeoutMillis());
                Thread.sleep(POLL_MILLIS);
            }
            assertThat(activeRequests(reactor, listener)).isZero();
        } finally {
            reactor.keepAlive(false);
            reactor.breakEventloop();
        }
    }

    private static int activeRequests(Eventloop reactor, HttpListener listener) {
        return reactor.submit(() -> Promise.of(listener.activeRequests())).join();
    }
}
