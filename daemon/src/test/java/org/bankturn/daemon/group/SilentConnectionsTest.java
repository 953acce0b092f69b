package org.bankturn.daemon.group;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.LogFile;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.observe.SilentConnectionReporter;
import org.bankturn.daemon.publication.PublicationFollower;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.daemon.wire.SilencingRelay;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs a control group and followers while all open connections stop delivering data at the same time. */
@Timeout(120)
class SilentConnectionsTest {
    private static final int BOXES = 3;
    private static final int FOLLOWERS = 6;
    private static final int CHANGES_BEFORE = 5;
    private static final int CHANGES_AFTER = 10;
    private static final int SILENCES = 3;
    private static final int CHANGES_BETWEEN_SILENCES = 4;
    private static final Duration CHANGE_TIMEOUT = Duration.ofSeconds(1);

    @TempDir
    private Path folder;

    private final Clock clock = Clock.system();
    private DecisionLog log;
    private ServingMetrics metrics;
    private final HttpClient http = HttpClient.newHttpClient();
    private final List<Address> callAddresses = new ArrayList<>();
    private final List<SilencingRelay> relays = new ArrayList<>();
    private final List<GroupNode> nodes = new ArrayList<>();
    private final List<Eventloop> reactors = new ArrayList<>();
    private final List<Follower> followers = new ArrayList<>();
    private final Map<Long, Long> acceptedMillis = new ConcurrentSkipListMap<>();

    @BeforeEach
    void form() throws IOException {
        log = DecisionLog.startTo(LogFile.of("silent-connections"), "silent", clock);
        metrics = ServingMetrics.of(log);
        List<Address> listen = new ArrayList<>();
        for (int box = 0; box < BOXES; box++) {
            listen.add(FreeAddresses.next());
            relays.add(SilencingRelay.inFrontOf(listen.get(box)));
            callAddresses.add(FreeAddresses.next());
        }
        for (int box = 0; box < BOXES; box++) {
            startBox(box, listen.get(box));
        }
        for (int number = 0; number < FOLLOWERS; number++) {
            followers.add(new Follower(number));
        }
    }

    @AfterEach
    void stop() throws IOException {
        nodes.forEach(GroupNode::stop);
        reactors.forEach(Eventloop::breakEventloop);
        for (SilencingRelay relay : relays) {
            relay.close();
        }
    }

    @Test
    void accepted_changes_reach_every_follower_after_all_open_connections_went_silent() throws Exception {
        long version = 1;
        for (int count = 0; count < CHANGES_BEFORE; count++) {
            change(version++);
        }
        awaitAll(version - 1);
        for (Follower follower : followers) {
            follower.connectToEveryBox();
        }
        change(version++);
        long silentMillis = clock.millis();
        relays.forEach(SilencingRelay::silence);
        for (int count = 0; count < CHANGES_AFTER; count++) {
            change(version++);
        }
        awaitAll(version - 1);
        report(silentMillis);
        assertThat(followers)
                .allSatisfy(follower -> assertThat(follower.regressed).isFalse());
    }

    @Test
    void changes_are_accepted_and_published_while_connections_repeatedly_go_silent() throws Exception {
        long version = 1;
        change(version++);
        awaitAll(version - 1);
        for (int silence = 0; silence < SILENCES; silence++) {
            relays.forEach(SilencingRelay::silence);
            for (int count = 0; count < CHANGES_BETWEEN_SILENCES; count++) {
                change(version++);
            }
        }
        awaitAll(version - 1);
        assertThat(followers)
                .allSatisfy(follower -> assertThat(follower.regressed).isFalse());
    }

    // ---- boxes

    private List<Address> nodeAddresses() {
        return relays.stream().map(SilencingRelay::address).toList();
    }

    private void startBox(int box, Address listen) {
        Eventloop reactor = reactor("box-" + box);
        GroupNode node = GroupNode.of(
                new GroupSettings(
                        "box-" + box,
                        "hall-" + box,
                        callAddresses.get(box),
                        relays.get(box).address(),
                        listen,
                        folder.resolve("box-" + box).toString(),
                        true,
                        nodeAddresses(),
                        1_000),
                this::nodeAddresses,
                new PlainControlDialect(),
                new PlainHealthDialect(),
                new NumberedDocument(),
                reactor,
                clock,
                log,
                metrics);
        nodes.add(node);
        reactor.submit(() -> {
                    node.start();
                    return Promise.complete();
                })
                .join();
    }

    private Eventloop reactor(String name) {
        Eventloop reactor = Eventloop.builder().withThreadName(name).build();
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, name);
        thread.setDaemon(true);
        thread.start();
        reactors.add(reactor);
        return reactor;
    }

    // ---- followers

    private final class Follower {
        private final Eventloop reactor;
        private final NodeClients clients;
        private final Map<Long, Long> publishedMillis = new ConcurrentHashMap<>();
        private volatile long version;
        private volatile boolean regressed;

        Follower(int number) {
            reactor = reactor("follower-" + number);
            clients = NodeClients.on(reactor, clock, SilentConnectionReporter.of(log, metrics));
            PublicationFollower follower = PublicationFollower.of(
                    new PublicationFollower.Wiring(
                            reactor,
                            clients,
                            SilentConnectionsTest.this::nodeAddresses,
                            "hall-" + number % BOXES,
                            new NumberedDocument(),
                            clock,
                            log,
                            metrics),
                    (published, changedSinceMillis) -> onPublished(published));
            reactor.execute(follower::start);
        }

        private void onPublished(PublishedState published) {
            long newer = published.configuration() == null
                    ? 0
                    : published.configuration().version();
            regressed |= newer < version;
            version = newer;
            publishedMillis.putIfAbsent(newer, clock.millis());
        }

        /** Opens a connection to every box. */
        void connectToEveryBox() {
            for (Address address : nodeAddresses()) {
                clients.askFromAnyThread(address, new NodeRequest.WatchPublication(0, 0), 10_000)
                        .join();
            }
        }

        /** Returns when a version or a newer one was published to this follower. */
        long publishedAtMillis(long wanted) {
            return publishedMillis.entrySet().stream()
                    .filter(entry -> entry.getKey() >= wanted)
                    .mapToLong(Map.Entry::getValue)
                    .min()
                    .orElse(Long.MAX_VALUE);
        }
    }

    private void awaitAll(long version) throws InterruptedException {
        while (followers.stream().anyMatch(follower -> follower.version < version)) {
            Thread.sleep(5);
        }
    }

    // ---- operator

    /** Sends a change to the boxes in turn until one accepts it. */
    private void change(long version) throws InterruptedException {
        for (int call = 0; !isAccepted(call % BOXES, version); call++) {
            Thread.sleep(20);
        }
        acceptedMillis.put(version, clock.millis());
    }

    private boolean isAccepted(int box, long version) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + callAddresses.get(box) + "/put"))
                .timeout(CHANGE_TIMEOUT)
                .POST(HttpRequest.BodyPublishers.ofString(Long.toString(version)))
                .build();
        try {
            return http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private void report(long silentMillis) {
        acceptedMillis.forEach((version, accepted) -> {
            long latest = followers.stream()
                    .mapToLong(follower -> follower.publishedAtMillis(version))
                    .max()
                    .orElseThrow();
            System.out.printf(
                    "version %d accepted %d ms after the silence began, published to all followers %d ms after that%n",
                    version, accepted - silentMillis, latest - accepted);
        });
        int used =
                relays.stream().mapToInt(SilencingRelay::silentConnectionsUsed).sum();
        System.out.printf("silent connections that were used: %d%n", used);
    }
}
