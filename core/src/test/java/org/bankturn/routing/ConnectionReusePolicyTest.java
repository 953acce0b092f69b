package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.routing.ConnectionReusePolicy.PendingRequest;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class ConnectionReusePolicyTest {
    private static final long MAX_IDLE_MILLIS = 5_000;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final ConnectionReusePolicy reusePolicy = ConnectionReusePolicy.of(clock, MAX_IDLE_MILLIS);

    @Test
    void recently_active_connection_is_reusable() {
        long heard = clock.millis();
        clock.advance(MAX_IDLE_MILLIS);
        assertThat(reusePolicy.isReusable(heard)).isTrue();
        clock.advance(1);
        assertThat(reusePolicy.isReusable(heard)).isFalse();
    }

    @Test
    void connections_without_data_since_a_timed_out_request_are_not_reused() {
        long before = clock.millis();
        clock.advance(10);
        long asked = clock.millis();
        clock.advance(10);
        long after = clock.millis();
        reusePolicy.timedOut(asked);
        assertThat(reusePolicy.isReusable(before)).isFalse();
        assertThat(reusePolicy.isReusable(after)).isTrue();
    }

    @Test
    void silence_of_several_peers_makes_all_open_connections_suspect() {
        long heard = clock.millis();
        reusePolicy.dataReceived(heard);
        sendRequests("one", "two", "two");
        clock.advance(299);
        assertThat(reusePolicy.isReusable(heard)).isTrue();
        clock.advance(2);
        assertThat(reusePolicy.isReusable(heard)).isFalse();
        long opened = clock.millis();
        reusePolicy.dataReceived(opened);
        assertThat(reusePolicy.isReusable(opened)).isTrue();
        assertThat(reusePolicy.isSuspect(heard)).isTrue();
    }

    @Test
    void data_from_any_peer_keeps_all_connections_reusable() {
        long heard = clock.millis();
        sendRequests("one", "two", "two");
        clock.advance(250);
        reusePolicy.dataReceived(heard);
        clock.advance(250);
        assertThat(reusePolicy.isReusable(heard)).isTrue();
    }

    /** Guards against new connections masking that all older ones are silent. */
    @Test
    void data_on_newer_connections_does_not_hide_silent_older_ones() {
        long kept = clock.millis();
        sendRequests("one", "two", "two");
        clock.advance(100);
        long opened = clock.millis();
        for (int word = 0; word < 3; word++) {
            clock.advance(100);
            reusePolicy.dataReceived(opened);
        }
        assertThat(reusePolicy.isReusable(kept)).isFalse();
        assertThat(reusePolicy.isReusable(clock.millis())).isTrue();
    }

    @Test
    void few_requests_or_a_single_silent_peer_are_not_sufficient() {
        long heard = clock.millis();
        sendRequests("one", "one", "one", "one");
        clock.advance(1_000);
        assertThat(reusePolicy.isReusable(heard)).isTrue();
        sendRequests("two");
        assertThat(reusePolicy.isReusable(heard)).isTrue();
    }

    @Test
    void ended_requests_do_not_count() {
        long heard = clock.millis();
        PendingRequest ended = reusePolicy.requestSent("one");
        sendRequests("two", "two");
        clock.advance(400);
        reusePolicy.requestEnded(ended);
        assertThat(reusePolicy.isReusable(heard)).isTrue();
    }

    private void sendRequests(String... peers) {
        for (String peer : peers) {
            reusePolicy.requestSent(peer);
        }
    }
}
