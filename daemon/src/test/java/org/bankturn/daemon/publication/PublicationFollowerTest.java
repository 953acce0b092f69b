package org.bankturn.daemon.publication;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.publication.PublicationUpdate;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.UnreadableDocumentException;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Runs a follower with a manual clock against a control process whose replies the test controls. */
@Timeout(60)
class PublicationFollowerTest {
    private static final long START_MILLIS = 1_000_000;

    private final Eventloop reactor =
            Eventloop.builder().withThreadName("follower-test").build();
    private final ManualClock clock = ManualClock.startingAt(START_MILLIS);
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "follower", clock);
    private final BlockingQueue<SettablePromise<NodeReply>> requests = new LinkedBlockingQueue<>();
    private final BlockingQueue<Change> changes = new LinkedBlockingQueue<>();

    private final BlockingQueue<Boolean> confirmations = new LinkedBlockingQueue<>();

    private record Change(long index, long changedSinceMillis) {}

    @BeforeEach
    void start() {
        Address control = FreeAddresses.next();
        reactor.keepAlive(true);
        new Thread(reactor, "follower-test").start();
        reactor.submit(() -> {
                    listen(control);
                    PublicationFollower.of(wiring(control), this::record).start();
                    return Promise.complete();
                })
                .join();
    }

    @AfterEach
    void stop() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** Guards against a gateway that was suspended dating a change later than it was committed. */
    @Test
    void a_change_after_a_late_reply_may_be_as_old_as_the_last_request_answered_in_time() throws Exception {
        answer(update(1), false);
        assertThat(changes.take().index()).isEqualTo(1);
        SettablePromise<NodeReply> outstanding = requests.take();
        clock.advance(4_000);
        answer(outstanding, null, true);
        answer(update(2), false);
        assertThat(changes.take()).isEqualTo(new Change(2, START_MILLIS));
    }

    @Test
    void a_change_received_by_a_waiting_request_is_no_older_than_the_request() throws Exception {
        answer(update(1), false);
        changes.take();
        answer(null, true);
        SettablePromise<NodeReply> outstanding = requests.take();
        clock.advance(400);
        answer(outstanding, update(2), true);
        assertThat(changes.take()).isEqualTo(new Change(2, START_MILLIS));
        SettablePromise<NodeReply> next = requests.take();
        clock.advance(300);
        answer(next, update(3), true);
        assertThat(changes.take()).isEqualTo(new Change(3, START_MILLIS + 400));
    }

    @Test
    void state_from_a_control_process_without_a_majority_is_unconfirmed_until_one_with_a_majority_answers()
            throws Exception {
        answerWithoutMajority(requests.take(), update(1));
        assertThat(changes.take().index()).isEqualTo(1);
        assertThat(confirmations.take()).isFalse();
        answer(null, false);
        assertThat(changes.take().index()).isEqualTo(1);
        assertThat(confirmations.take()).isTrue();
    }

    private void record(PublishedState newer, long changedSinceMillis) {
        confirmations.add(newer.confirmed());
        changes.add(new Change(newer.index(), changedSinceMillis));
    }

    private void answer(PublicationUpdate update, boolean waited) throws InterruptedException {
        answer(requests.take(), update, waited);
    }

    private void answer(SettablePromise<NodeReply> request, PublicationUpdate update, boolean waited) {
        reactor.execute(
                () -> request.set(new NodeReply.WatchedPublication(update, true, waited, "north", List.of(), 0)));
    }

    private void answerWithoutMajority(SettablePromise<NodeReply> request, PublicationUpdate update) {
        reactor.execute(
                () -> request.set(new NodeReply.WatchedPublication(update, false, false, "north", List.of(), 0)));
    }

    private static PublicationUpdate update(long index) {
        return new PublicationUpdate(
                index, 0, null, List.of(), List.of(), List.of(), List.of(), false, List.of(), List.of(), List.of());
    }

    private void listen(Address control) throws IOException {
        NodeServer.create(reactor, control, request -> {
                    SettablePromise<NodeReply> reply = new SettablePromise<>();
                    requests.add(reply);
                    return reply;
                })
                .listen();
    }

    private PublicationFollower.Wiring wiring(Address control) {
        DocumentFormat format = document -> {
            throw new UnreadableDocumentException("no document is published here");
        };
        return new PublicationFollower.Wiring(
                reactor,
                NodeClients.on(reactor),
                () -> List.of(control),
                "north",
                format,
                clock,
                log,
                ServingMetrics.of(log));
    }
}
