package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.LogFile;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.ConnectionObserver;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.daemon.wire.NodeServer;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;

/** A group of gateways on loopback with the same published targets. */
final class GatewayGroup implements AutoCloseable {
    private static final RetryLimits UNLIMITED_RETRIES = new RetryLimits(0.5, 96_000_000, 10_000);
    private static final long TIMEOUT_MILLIS = 2_000;

    /** Concurrent callers per gateway. */
    private static final int CALLERS = 3;

    final Clock clock = Clock.system();

    /** Exceptions thrown on the reactor's thread or by callers. */
    final List<Throwable> thrown = new CopyOnWriteArrayList<>();

    private final Eventloop reactor = Eventloop.builder()
            .withThreadName("several-gateways")
            .withFatalErrorHandler((error, context) -> thrown.add(error))
            .build();
    private final String name;
    private final List<Member> members = new ArrayList<>();

    /** A gateway with its addresses for callers and for other processes. */
    private record Member(Gateway gateway, Address callers, Address node) {}

    private GatewayGroup(String name) {
        this.name = name;
    }

    static GatewayGroup start(String name, int count) throws Exception {
        GatewayGroup gateways = new GatewayGroup(name);
        gateways.reactor.keepAlive(true);
        new Thread(gateways.reactor, "several-gateways").start();
        for (int number = 0; number < count; number++) {
            gateways.startOne("gateway-" + number);
        }
        return gateways;
    }

    private void startOne(String process) throws Exception {
        Address callers = FreeAddresses.next();
        Address node = FreeAddresses.next();
        DecisionLog log = DecisionLog.startTo(LogFile.of(name + "-" + process), process, clock);
        Gateway gateway = Gateway.of(
                new GatewaySettings(
                        process, "north", callers, FreeAddresses.next(), node, UNLIMITED_RETRIES, 1_000, 20_000),
                new PlainDialect(),
                new PlainHealthDialect(),
                reactor,
                NodeClients.on(reactor, clock, ConnectionObserver.NONE),
                command -> {},
                clock,
                log,
                ServingMetrics.of(log));
        reactor.submit(() -> {
                    gateway.start();
                    NodeServer.create(
                                    reactor,
                                    node,
                                    request -> Promise.of(
                                            gateway.handlePermitRequest((NodeRequest.RequestPermit) request)))
                            .listen();
                    return Promise.complete();
                })
                .join();
        members.add(new Member(gateway, callers, node));
    }

    /** Publishes the targets and the gateways themselves to all gateways. */
    void publish(ScriptedTarget... targets) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        Map<String, TargetSighting> sightings = new HashMap<>();
        for (Member each : members) {
            String id = "relay-" + each.node();
            sightings.put(
                    id, new TargetSighting(id, WeightsRelay.SERVICE, each.node().toString(), "north", 0, false, -1, 1));
        }
        for (ScriptedTarget target : targets) {
            String id = "t-" + target.address();
            sightings.put(id, new TargetSighting(id, "chat", target.address(), "north", 4, false, -1, 1));
        }
        PublishedState published = new PublishedState(
                1,
                GatewayFixture.configuration(RequestKind.IDEMPOTENT, 2, TIMEOUT_MILLIS, service),
                List.of(),
                sightings,
                List.of(),
                true);
        reactor.submit(() -> {
                    members.forEach(each -> each.gateway().update(published, clock.millis()));
                    return Promise.complete();
                })
                .join();
    }

    /** Runs closed-loop callers against all gateways for the given time. */
    void callFor(long millis) throws InterruptedException {
        long end = clock.millis() + millis;
        List<Thread> callers = new ArrayList<>();
        for (Member each : members) {
            for (int number = 0; number < CALLERS; number++) {
                Thread caller = new Thread(() -> callUntil(end, each.callers()), "caller");
                caller.start();
                callers.add(caller);
            }
        }
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private void callUntil(long end, Address gateway) {
        for (int number = 0; clock.millis() < end; number++) {
            try {
                String unused = call(
                        gateway, gateway.port() + "-" + Thread.currentThread().getId() + "-" + number);
            } catch (IOException e) {
                thrown.add(e);
                return;
            }
            GatewayFixture.pause();
        }
    }

    /** Sends a request to one gateway and returns the response. */
    String call(int gateway, String id) throws IOException {
        return call(members.get(gateway).callers(), id);
    }

    private static String call(Address gateway, String id) throws IOException {
        try (Socket socket = new Socket(gateway.host(), gateway.port())) {
            ScriptedTarget.write(
                    socket,
                    "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: " + id
                            + "\r\nDeadline: 5000\r\nKey: k\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
            return GatewayFixture.readAll(socket.getInputStream());
        }
    }

    @Override
    public void close() {
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }
}
