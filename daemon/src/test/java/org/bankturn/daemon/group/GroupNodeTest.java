package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.bankturn.daemon.observe.CapturedLog;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.Announcer;
import org.bankturn.daemon.publication.PublicationFollower;
import org.bankturn.daemon.publication.PublicationListener;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RegionMap;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a control group of three processes on loopback. */
@Timeout(60)
class GroupNodeTest {
    private static final int BOXES = 3;
    private static final int BOX_WITHOUT_REGIONS = 2;

    private static final int CHANGES = 12;
    private static final int MAX_LINE_POLLS = 50;
    private static final long LINE_POLL_MILLIS = 100;
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final long FIRST_PUBLICATION_SECONDS = 10;

    @TempDir
    private Path folder;

    private final Clock clock = Clock.system();
    private CapturedLog captured;
    private DecisionLog log;
    private ServingMetrics metrics;
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Address> seeds = new ArrayList<>();
    private final List<Address> callAddresses = new ArrayList<>();
    private final Map<Integer, Running> running = new TreeMap<>();

    private record Running(GroupNode node, Eventloop reactor, Thread thread) {}

    @BeforeEach
    void form() throws IOException {
        captured = CapturedLog.of("GroupNodeTest");
        log = DecisionLog.startTo(captured, "test", clock);
        metrics = ServingMetrics.of(log);
        for (int box = 0; box < BOXES; box++) {
            seeds.add(FreeAddresses.next());
            callAddresses.add(FreeAddresses.next());
        }
        for (int box = 0; box < BOXES; box++) {
            start(box);
        }
    }

    @AfterEach
    void stop() {
        running.values().forEach(each -> {
            each.node().stop();
            each.reactor().breakEventloop();
        });
    }

    @Test
    void a_change_accepted_at_any_box_is_read_at_every_other() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        for (int box = 0; box < BOXES; box++) {
            assertThat(untilRead(box)).isEqualTo("7");
        }
    }

    @Test
    void the_highest_version_wins_and_an_older_one_is_acknowledged_without_effect() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        assertThat(untilAccepted(1, "/put", "5")).isEqualTo(200);
        assertThat(untilAccepted(2, "/put", "7 other")).isEqualTo(200);
        assertThat(untilRead(2)).isEqualTo("7");
    }

    @Test
    void an_invalid_document_is_refused_and_changes_nothing() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        assertThat(call(0, "/put", "nonsense").statusCode()).isEqualTo(400);
        assertThat(call(0, "/put", "8 faulty").statusCode()).isEqualTo(400);
        assertThat(untilRead(0)).isEqualTo("7");
    }

    /** Guards against restricted requests that no target could ever serve because of a misspelt region. */
    @Test
    void a_document_that_names_a_region_of_no_data_hall_is_refused_and_changes_nothing() throws Exception {
        assertThat(untilAccepted(0, "/put", "7 in east")).isEqualTo(200);
        assertThat(call(0, "/put", "8 in weast").statusCode()).isEqualTo(400);
        assertThat(untilRead(0)).isEqualTo("7 in east");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_documents_refused_total{cause=\"unknown region\"} 1.0");
        assertThat(untilLogged("no data hall is in the allowed region weast", "/put", "8 in weast"))
                .isTrue();
    }

    /** Guards against documents being refused where the settings say nothing about regions. */
    @Test
    void a_document_with_regions_is_accepted_if_the_settings_name_no_regions() throws Exception {
        assertThat(untilAccepted(BOX_WITHOUT_REGIONS, "/put", "7 in weast")).isEqualTo(200);
    }

    @Test
    void an_acknowledged_leave_is_published_at_every_other_box() throws Exception {
        AtomicReference<PublishedState> seen = follow(2);
        assertThat(untilAccepted(0, "/beat/t1/ready/1", "")).isEqualTo(200);
        assertThat(untilAccepted(1, "/beat/t1/leaving/2", "")).isEqualTo(200);
        while (!seen.get().targets().containsKey("t1")
                || !seen.get().targets().get("t1").draining()) {
            Thread.onSpinWait();
        }
        assertThat(untilAccepted(0, "/leave/t1", "")).isEqualTo(200);
        while (seen.get().targets().containsKey("t1")) {
            Thread.onSpinWait();
        }
    }

    /** Guards against a delayed heartbeat of a crashed target displacing the target that now has its address. */
    @Test
    void a_delayed_heartbeat_of_a_crashed_incarnation_displaces_no_target_at_any_box() throws Exception {
        assertThat(untilAccepted(0, "/beat/t2/ready/1/10.0.0.1:80", "")).isEqualTo(200);
        for (int box = 0; box < BOXES; box++) {
            assertThat(untilAccepted(box, "/beat/t1/ready/9/10.0.0.1:80", "")).isEqualTo(200);
        }
        assertThat(untilAccepted(1, "/beat/t3/ready/1/10.0.0.3:80", "")).isEqualTo(200);
        AtomicReference<PublishedState> seen = follow(2);
        while (!seen.get().targets().containsKey("t3")) {
            Thread.onSpinWait();
        }
        assertThat(seen.get().targets()).containsKey("t2").doesNotContainKey("t1");
    }

    @Test
    void without_a_majority_changes_and_reads_fail() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        stopBox(1);
        stopBox(2);
        while (call(0, "/beat/t1/ready/1", "").statusCode() != 503) {
            Thread.onSpinWait();
        }
        assertThat(call(0, "/get", "").statusCode()).isEqualTo(503);
    }

    @Test
    void accepted_changes_survive_a_restart_of_the_group() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        for (int box = 0; box < BOXES; box++) {
            stopBox(box);
        }
        for (int box = 0; box < BOXES; box++) {
            start(box);
        }
        assertThat(untilRead(1)).isEqualTo("7");
    }

    @Test
    void a_box_that_restarts_alone_publishes_its_committed_state() throws Exception {
        for (int version = 1; version <= CHANGES; version++) {
            assertThat(untilAccepted(0, "/put", String.valueOf(version))).isEqualTo(200);
        }
        assertThat(untilRead(0)).isEqualTo(String.valueOf(CHANGES));
        awaitPublished(0, CHANGES);
        for (int box = 0; box < BOXES; box++) {
            stopBox(box);
        }
        start(0);
        assertThat(versionOfFirst(followFromStart(0))).isGreaterThanOrEqualTo(CHANGES - 1);
    }

    /** Guards against a restarted relay, which has a new name, being published only after its predecessor timed out. */
    @Test
    void a_relay_that_restarts_at_its_address_is_published_at_once() throws InterruptedException {
        AtomicReference<PublishedState> seen = follow(2);
        announce("relay-1", WeightsRelay.SERVICE);
        awaitPublishedTarget(seen, "relay-1");
        announce("relay-2", WeightsRelay.SERVICE);
        awaitPublishedTarget(seen, "relay-2");
        assertThat(seen.get().targets()).doesNotContainKey("relay-1");
    }

    private void announce(String name, String service) {
        Eventloop reactor = running.get(0).reactor();
        PublicationFollower follower = follower(0, (published, changedSinceMillis) -> {});
        Announcer announcer = Announcer.of(
                reactor,
                NodeClients.on(reactor),
                follower,
                sequence -> new TargetSighting(name, service, "10.0.0.1:7", "north", 0, false, -1, sequence),
                200,
                log);
        reactor.execute(() -> {
            follower.start();
            announcer.start();
        });
    }

    private static void awaitPublishedTarget(AtomicReference<PublishedState> seen, String name)
            throws InterruptedException {
        while (!seen.get().targets().containsKey(name)) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
        }
    }

    @Test
    void a_process_that_announces_itself_is_published_at_every_box() throws InterruptedException {
        AtomicReference<PublishedState> seen = follow(2);
        announce("relay-1", "relays");
        awaitPublishedTarget(seen, "relay-1");
        assertThat(seen.get().targets().get("relay-1").address()).isEqualTo("10.0.0.1:7");
    }

    // ---- boxes

    private void start(int box) throws IOException {
        Eventloop reactor = Eventloop.builder().withThreadName("box-" + box).build();
        reactor.keepAlive(true);
        GroupNode node = GroupNode.of(
                new GroupSettings(
                        "box-" + box,
                        "north",
                        callAddresses.get(box),
                        seeds.get(box),
                        seeds.get(box),
                        folder.resolve("box-" + box).toString(),
                        true,
                        seeds,
                        1_000,
                        box == BOX_WITHOUT_REGIONS ? RegionMap.NONE : new RegionMap(Map.of("north", "east"))),
                () -> seeds,
                new PlainControlDialect(),
                new NumberedDocument(),
                reactor,
                clock,
                log,
                metrics);
        Thread thread = new Thread(reactor, "box-" + box);
        thread.setDaemon(true);
        thread.start();
        reactor.submit(() -> {
                    node.start();
                    return Promise.complete();
                })
                .join();
        running.put(box, new Running(node, reactor, thread));
    }

    private void stopBox(int box) {
        Running stopped = running.remove(box);
        stopped.node().stop();
        CompletableFuture<Void> closed = stopped.reactor().submit(() -> {
            stopped.node().close();
            return Promise.complete();
        });
        closed.join();
        stopped.reactor().keepAlive(false);
        stopped.reactor().execute(() -> {});
        joinFully(stopped.thread());
    }

    /** Waits for the reactor to end; a selector releases a closed port only in its next iteration. */
    private static void joinFully(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Follows a box and returns the first state that it publishes. */
    private CompletableFuture<PublishedState> followFromStart(int box) {
        CompletableFuture<PublishedState> first = new CompletableFuture<>();
        PublicationFollower follower = follower(box, (published, changedSinceMillis) -> first.complete(published));
        running.get(box).reactor().execute(follower::start);
        return first;
    }

    /** Waits until a box has applied a document version locally. */
    private void awaitPublished(int box, long version) {
        CompletableFuture<Void> applied = new CompletableFuture<>();
        PublicationFollower follower = follower(box, (published, changedSinceMillis) -> {
            if (published.configuration() != null && published.configuration().version() >= version) {
                applied.complete(null);
            }
        });
        Eventloop reactor = running.get(box).reactor();
        reactor.execute(follower::start);
        applied.join();
        reactor.execute(follower::stop);
    }

    private static long versionOfFirst(CompletableFuture<PublishedState> first) throws Exception {
        return first.get(FIRST_PUBLICATION_SECONDS, TimeUnit.SECONDS)
                .configuration()
                .version();
    }

    private AtomicReference<PublishedState> follow(int box) {
        AtomicReference<PublishedState> seen = new AtomicReference<>(PublishedState.EMPTY);
        PublicationFollower follower = follower(box, (published, changedSinceMillis) -> seen.set(published));
        running.get(box).reactor().execute(follower::start);
        return seen;
    }

    private PublicationFollower follower(int box, PublicationListener listener) {
        Eventloop reactor = running.get(box).reactor();
        return PublicationFollower.of(
                new PublicationFollower.Wiring(
                        reactor,
                        NodeClients.on(reactor),
                        () -> List.of(seeds.get(box)),
                        "north",
                        new NumberedDocument(),
                        clock,
                        log,
                        metrics),
                listener);
    }

    // ---- HTTP calls

    /** Repeats a call until the status is other than 503, and returns that status. */
    private int untilAccepted(int box, String target, String body) throws Exception {
        int status = 503;
        while (status == 503) {
            status = call(box, target, body).statusCode();
        }
        return status;
    }

    /** Repeats a call, as lines are dropped above a rate, until a line contains a text; returns false if none does. */
    private boolean untilLogged(String text, String target, String body) throws Exception {
        for (int poll = 0; poll < MAX_LINE_POLLS; poll++) {
            if (captured.lines(DecisionKind.CHANGE).stream().anyMatch(line -> line.contains(text))) {
                return true;
            }
            Thread.sleep(LINE_POLL_MILLIS);
            call(0, target, body);
        }
        return false;
    }

    private String untilRead(int box) throws Exception {
        HttpResponse<String> answer = call(box, "/get", "");
        while (answer.statusCode() == 503) {
            answer = call(box, "/get", "");
        }
        return answer.body();
    }

    private HttpResponse<String> call(int box, String target, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + callAddresses.get(box) + target))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
