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
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Predicate;
import org.bankturn.daemon.http.PlainHealthDialect;
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
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.publication.HallEvacuation;
import org.bankturn.publication.PublicationCommand;
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

    /** Guards against a member that is missing while nothing shows it. */
    @Test
    void leader_lists_the_members_and_the_losses_that_the_group_tolerates() throws Exception {
        assertThat(untilAccepted(0, "/put", "7")).isEqualTo(200);
        String listed = "";
        while (!listed.contains("\"tolerableLosses\":1")) {
            for (int box = 0; box < BOXES; box++) {
                listed = send(box, "/group", "GET", "").body();
                if (listed.contains("\"leads\":true")) {
                    break;
                }
            }
        }
        for (Address seed : seeds) {
            assertThat(listed).contains("{\"address\":\"" + seed + "\",\"silentMillis\":");
        }
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8)).contains("bankturn_group_members 3.0");
    }

    // ---- evacuations

    /** Guards against an order that is acknowledged at one box and never reaches the followers of another one. */
    @Test
    void an_evacuation_ordered_at_any_box_is_published_at_every_other_until_it_ends() throws Exception {
        registerTargetInNorth();
        List<AtomicReference<PublishedState>> seen = new ArrayList<>();
        for (int box = 0; box < BOXES; box++) {
            seen.add(follow(box));
        }
        assertThat(untilOrdered(0, "PUT", "north")).isEqualTo(200);
        awaitEvacuated(seen, Set.of("north"));
        assertThat(untilOrdered(1, "DELETE", "north")).isEqualTo(200);
        awaitEvacuated(seen, Set.of());
        assertThat(seen.get(2).get().evacuations()).hasSize(1);
    }

    /** Guards against an order for a misspelt hall being acknowledged and evacuating nothing. */
    @Test
    void an_order_for_an_unknown_hall_is_refused_and_counted() throws Exception {
        registerTargetInNorth();
        awaitPublishedTarget(follow(0), "t1");
        assertThat(order(0, "PUT", "nrth").statusCode()).isEqualTo(400);
        assertThat(evacuationsAt(0)).contains("\"evacuated\":[]");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_control_seconds_count{answer=\"Refused\",call=\"Evacuate\"} 1");
    }

    /** Guards against an acknowledgement before a majority holds the order. */
    @Test
    void without_a_majority_an_order_is_not_acknowledged_and_changes_nothing() throws Exception {
        registerTargetInNorth();
        awaitPublished(0, state -> state.targets().containsKey("t1"));
        stopBox(1);
        stopBox(2);
        assertThat(order(0, "PUT", "north").statusCode()).isEqualTo(503);
        assertThat(order(0, "DELETE", "north").statusCode()).isEqualTo(503);
        assertThat(evacuationsAt(0)).contains("\"evacuated\":[]");
    }

    /** Guards against a box that is behind acknowledging an order for a state that has ended since. */
    @Test
    void of_orders_in_quick_succession_at_different_boxes_the_last_one_acknowledged_is_in_force() throws Exception {
        registerTargetInNorth();
        List<AtomicReference<PublishedState>> seen = List.of(follow(0), follow(1), follow(2));
        for (int round = 0; round < 4; round++) {
            assertThat(untilOrdered(round % BOXES, "PUT", "north")).isEqualTo(200);
            assertThat(untilOrdered((round + 1) % BOXES, "DELETE", "north")).isEqualTo(200);
            assertThat(untilOrdered((round + 2) % BOXES, "PUT", "north")).isEqualTo(200);
            assertThat(untilOrdered(round % BOXES, "PUT", "north")).isEqualTo(200);
            awaitEvacuated(seen, Set.of("north"));
        }
    }

    /** Guards against a copy that was delayed between boxes taking effect after a later order was acknowledged. */
    @Test
    void a_copy_that_reaches_the_leader_after_a_later_order_changes_nothing() throws Exception {
        registerTargetInNorth();
        AtomicReference<PublishedState> seen = follow(2);
        assertThat(untilOrdered(0, "PUT", "north")).isEqualTo(200);
        assertThat(untilOrdered(1, "DELETE", "north")).isEqualTo(200);
        assertThat(submitAtLeader(new PublicationCommand.Evacuate("north", true, 0)))
                .isEqualTo(GroupMember.Outcome.SUPERSEDED);
        assertThat(untilOrdered(0, "DELETE", "north")).isEqualTo(200);
        awaitEvacuated(List.of(seen), Set.of());
        assertThat(seen.get().evacuations()).noneMatch(HallEvacuation::evacuated);
    }

    /** Guards against the loss of all power making the group forget an evacuation, or the order that ended one. */
    @Test
    void evacuations_survive_a_restart_of_the_group() throws Exception {
        registerTargetInNorth();
        assertThat(untilOrdered(0, "PUT", "north")).isEqualTo(200);
        restartAll();
        assertThat(submitAtLeader(new PublicationCommand.Confirm())).isEqualTo(GroupMember.Outcome.COMMITTED);
        awaitPublished(1, state -> state.evacuatedHalls().equals(Set.of("north")));
        assertThat(untilOrdered(2, "DELETE", "north")).isEqualTo(200);
        restartAll();
        assertThat(submitAtLeader(new PublicationCommand.Evacuate("north", true, 0)))
                .isEqualTo(GroupMember.Outcome.SUPERSEDED);
        awaitPublished(1, state -> state.evacuatedHalls().isEmpty());
    }

    private void registerTargetInNorth() throws Exception {
        assertThat(untilAccepted(0, "/beat/t1/ready/1", "")).isEqualTo(200);
    }

    private void restartAll() throws IOException {
        for (int box = 0; box < BOXES; box++) {
            stopBox(box);
        }
        for (int box = 0; box < BOXES; box++) {
            start(box);
        }
    }

    private static void awaitEvacuated(List<AtomicReference<PublishedState>> seen, Set<String> halls)
            throws InterruptedException {
        for (AtomicReference<PublishedState> each : seen) {
            while (each.get().index() == 0 || !each.get().evacuatedHalls().equals(halls)) {
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        }
    }

    /** Submits a command to each box until one of them leads, and returns the outcome there. */
    private GroupMember.Outcome submitAtLeader(PublicationCommand command) throws InterruptedException {
        Eventloop reactor = running.get(0).reactor();
        NodeClients clients = NodeClients.on(reactor);
        try {
            while (true) {
                for (Address box : seeds) {
                    NodeReply reply = reactor.submit(
                                    () -> clients.ask(box, new NodeRequest.SubmitPublication(command), 2_000))
                            .join();
                    if (reply instanceof NodeReply.PublicationOutcome done
                            && done.outcome() != GroupMember.Outcome.NOT_LEADER) {
                        return done.outcome();
                    }
                }
                Thread.sleep(POLL_INTERVAL_MILLIS);
            }
        } finally {
            // a box stops only once nothing is scheduled on its reactor
            reactor.execute(clients::close);
        }
    }

    /** Repeats an order as an operator does; a box that does not know the target's hall yet refuses it. */
    private int untilOrdered(int box, String method, String hall) throws Exception {
        int status = order(box, method, hall).statusCode();
        while (status != 200) {
            Thread.sleep(POLL_INTERVAL_MILLIS);
            status = order(box, method, hall).statusCode();
        }
        return status;
    }

    private HttpResponse<String> order(int box, String method, String hall) throws Exception {
        return send(box, "/evacuations/" + hall, method, "");
    }

    private String evacuationsAt(int box) throws Exception {
        return send(box, "/evacuations", "GET", "").body();
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
                        box == BOX_WITHOUT_REGIONS ? RegionMap.NONE : new RegionMap(Map.of("north", "east")),
                        GroupSettings.DEFAULT_TOLERATED_LOSSES),
                () -> seeds,
                new PlainControlDialect(),
                new PlainHealthDialect(),
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
        awaitPublished(
                box,
                state -> state.configuration() != null && state.configuration().version() >= version);
    }

    /** Waits until a box publishes a state, and stops following it, since a box stops only without followers. */
    private void awaitPublished(int box, Predicate<PublishedState> expected) {
        CompletableFuture<Void> applied = new CompletableFuture<>();
        PublicationFollower follower = follower(box, (published, changedSinceMillis) -> {
            if (expected.test(published)) {
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
        return send(box, target, "POST", body);
    }

    private HttpResponse<String> send(int box, String target, String method, String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + callAddresses.get(box) + target))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
