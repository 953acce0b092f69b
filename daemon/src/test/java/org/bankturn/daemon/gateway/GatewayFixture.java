package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.observe.CapturedLog;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.ConnectionObserver;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RegionMap;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/** Base of tests that run a gateway on loopback in front of scripted targets. */
@Timeout(30)
abstract class GatewayFixture {
    static final long LONG_AGO = Long.MIN_VALUE / 2;

    /** A retry budget that is never exhausted. */
    private static final RetryLimits UNLIMITED_RETRIES = new RetryLimits(0.5, 96_000_000, 10_000);

    /** Exceptions thrown on the reactor's thread, checked after each test. */
    private final List<Throwable> thrown = new CopyOnWriteArrayList<>();

    final Eventloop reactor = Eventloop.builder()
            .withThreadName("gateway-test")
            .withFatalErrorHandler((error, context) -> thrown.add(error))
            .build();
    final Clock clock = Clock.system();
    final List<ScriptedTarget> targets = new ArrayList<>();
    Gateway gateway;

    /** Commands that the gateway sent to the control group. */
    final List<PublicationCommand> publicationCommands = new CopyOnWriteArrayList<>();

    ServingMetrics metrics;
    CapturedLog log;

    /** Whether the published state is confirmed by a control process connected to a majority. */
    boolean confirmed = true;

    Address callerAddress;
    Address readyAddress;

    /** The published node address of the gateway; nothing listens on it. */
    Address nodeAddress;

    @BeforeEach
    void startGateway() throws Exception {
        callerAddress = FreeAddresses.next();
        readyAddress = FreeAddresses.next();
        nodeAddress = FreeAddresses.next();
        log = CapturedLog.of(getClass().getSimpleName());
        DecisionLog decisions = DecisionLog.startTo(log, "test", clock);
        metrics = ServingMetrics.of(decisions);
        gateway = Gateway.of(
                new GatewaySettings(
                        "test",
                        "north",
                        callerAddress,
                        readyAddress,
                        nodeAddress,
                        retryLimits(),
                        1_000,
                        stopTimeoutMillis(),
                        regions(),
                        heapBytes()),
                new PlainDialect(),
                new PlainHealthDialect(),
                reactor,
                NodeClients.on(reactor, clock, ConnectionObserver.NONE),
                publicationCommands::add,
                clock,
                decisions,
                metrics);
        reactor.keepAlive(true);
        new Thread(reactor, "gateway-test").start();
        reactor.submit(() -> {
                    gateway.start();
                    return Promise.complete();
                })
                .join();
    }

    long stopTimeoutMillis() {
        return 20_000;
    }

    @AfterEach
    void stop() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
        reactor.keepAlive(false);
        reactor.breakEventloop();
        assertThat(thrown).isEmpty();
    }

    /** Returns the retry limits of the gateway, not null. */
    RetryLimits retryLimits() {
        return UNLIMITED_RETRIES;
    }

    /** Returns the heap from which the gateway derives its bounds on buffered messages. */
    long heapBytes() {
        return Runtime.getRuntime().maxMemory();
    }

    /** Returns the region of each data hall, not null. */
    RegionMap regions() {
        return RegionMap.NONE;
    }

    // ---- targets

    ScriptedTarget answering(String body, String fields) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + fields + "Content-Length: " + body.length() + "\r\n\r\n"
                            + body);
            return true;
        }));
    }

    ScriptedTarget register(ScriptedTarget target) {
        targets.add(target);
        return target;
    }

    // ---- calls

    void publish(RequestKind kind, int attempts, ScriptedTarget... published) {
        publish(kind, attempts, 2_000, published);
    }

    void publish(RequestKind kind, int attempts, long timeoutMillis, ScriptedTarget... published) {
        publish(
                kind,
                attempts,
                timeoutMillis,
                Stream.of(published).map(ScriptedTarget::address).toList());
    }

    void publish(RequestKind kind, int attempts, long timeoutMillis, List<String> addresses) {
        publish(kind, attempts, timeoutMillis, addresses, List.of());
    }

    void publish(RequestKind kind, int attempts, long timeoutMillis, List<String> addresses, List<Suspect> suspects) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        ServingConfiguration configuration = configuration(kind, attempts, timeoutMillis, service);
        Map<String, TargetSighting> sightings = new HashMap<>();
        sightings.put(
                "relay-test",
                new TargetSighting(
                        "relay-test", WeightsRelay.SERVICE, nodeAddress.toString(), "north", 0, false, -1, 1));
        for (String address : addresses) {
            String id = "t-" + address;
            sightings.put(id, new TargetSighting(id, "chat", address, "north", 4, false, -1, 1));
        }
        update(new PublishedState(1, configuration, List.of(), sightings, suspects, confirmed), clock.millis());
    }

    /** Publishes that a target leaves a service whose routes have one attempt. */
    void publishLeaving(RequestKind kind, ScriptedTarget target) {
        String id = "t-" + target.address();
        TargetSighting leaving = new TargetSighting(id, "chat", target.address(), "north", 4, true, -1, 2);
        publishTargets(2, kind, Map.of(id, leaving), Set.of());
    }

    /** Publishes that no target is registered any more, since the given one left. */
    void publishLeft(RequestKind kind, ScriptedTarget target) {
        publishTargets(3, kind, Map.of(), Set.of("t-" + target.address()));
    }

    /** Publishes that no target is registered any more, since the last one was removed without its request. */
    void publishRemoved(RequestKind kind) {
        publishTargets(3, kind, Map.of(), Set.of());
    }

    private void publishTargets(long index, RequestKind kind, Map<String, TargetSighting> sightings, Set<String> left) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        ServingConfiguration configuration = configuration(kind, 1, 4_000, service);
        update(
                new PublishedState(
                        index, configuration, List.of(), sightings, List.of(), confirmed, List.of(), List.of(), left),
                clock.millis());
    }

    static ServingConfiguration configuration(RequestKind kind, int attempts, long timeoutMillis, Service service) {
        Route route = new Route(
                "r", "h", "/x/", kind, timeoutMillis, 300, 0, List.of(new WeightedService("chat", 1)), attempts, false);
        return ServingConfiguration.of(
                1,
                List.of(route),
                List.of(service),
                ClientLimits.DEFAULT,
                List.of(new Account("acme", List.of("k"), 0)));
    }

    void update(PublishedState newer, long changedSinceMillis) {
        reactor.submit(() -> {
                    gateway.update(newer, changedSinceMillis);
                    return Promise.complete();
                })
                .join();
    }

    String call(String method, String id, String body) throws IOException {
        return exchange(method + " /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id
                + "\r\nDeadline: 5000\r\nKey: k\r\nConnection: close\r\nContent-Length: " + body.length() + "\r\n\r\n"
                + body);
    }

    String exchange(String request) throws IOException {
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(socket, request);
            return readAll(socket.getInputStream());
        }
    }

    String getReadiness() throws IOException {
        try (Socket socket = new Socket(readyAddress.host(), readyAddress.port())) {
            ScriptedTarget.write(socket, "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
            return readAll(socket.getInputStream());
        }
    }

    static String readAll(InputStream input) {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try (InputStream buffered = new BufferedInputStream(input)) {
            buffered.transferTo(all);
        } catch (IOException e) {
            // a connection reset ends the response
        }
        return all.toString(StandardCharsets.ISO_8859_1);
    }

    static void pause() {
        await(new CountDownLatch(1), 20);
    }

    static void await(CountDownLatch latch) {
        await(latch, 10_000);
    }

    static void await(CountDownLatch latch, long millis) {
        try {
            boolean unused = latch.await(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
