package org.bankturn.daemon.serving;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.bankturn.daemon.gateway.Gateway;
import org.bankturn.daemon.gateway.GatewaySettings;
import org.bankturn.daemon.group.GroupNode;
import org.bankturn.daemon.group.GroupSettings;
import org.bankturn.daemon.http.HttpCalls;
import org.bankturn.daemon.http.HttpHead;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublicationFollower;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.weights.WeightsAgent;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.weights.WeightsSettings;
import org.bankturn.daemon.weights.WeightsWiring;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.routing.RetryLimits;
import org.bankturn.time.Clock;

/**
 * Runs a control process, a gateway and a weights agent in one process on loopback for a moment.
 *
 * <p>The build does so once to learn which classes the programs load, and writes them to an archive that makes every start
 * cheaper. Nothing depends on its outcome.
 */
public final class Rehearsal {
    private static final long LENGTH_MILLIS = 2_500;
    private static final long CALL_MILLIS = 1_000;
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long STOP_MILLIS = 1_000;
    private static final String HALL = "hall";

    private Rehearsal() {}

    /**
     * Runs the rehearsal.
     *
     * @param dialects the platform's dialects, not null
     * @param calls calls that operators and targets make, by method and target, not null
     */
    public static void run(Dialects dialects, List<Call> calls) throws IOException, InterruptedException {
        Clock clock = Clock.system();
        DecisionLog log = DecisionLog.start("rehearsal", clock);
        ServingMetrics metrics = ServingMetrics.of(log);
        Eventloop reactor = Eventloop.builder().withThreadName("rehearsal").build();
        reactor.keepAlive(true);
        new Thread(reactor, "rehearsal").start();
        Address control = freeAddress();
        Address node = freeAddress();
        Address measured = freeAddress();
        Path folder = Files.createTempDirectory("rehearsal");
        GroupNode group = GroupNode.of(
                new GroupSettings(
                        "rehearsal", HALL, control, node, folder.toString(), true, List.of(node), HEARTBEAT_MILLIS),
                () -> List.of(node),
                dialects.control(),
                dialects.document(),
                reactor,
                clock,
                log,
                metrics);
        NodeClients clients = NodeClients.on(reactor);
        Gateway gateway = Gateway.of(
                new GatewaySettings(
                        "rehearsal", HALL, freeAddress(), freeAddress(), node.port(), new RetryLimits(0.1, 1, STOP_MILLIS), STOP_MILLIS, STOP_MILLIS),
                dialects.requests(),
                reactor,
                clients,
                clock,
                log,
                metrics);
        WeightsWiring weights = new WeightsWiring(reactor, clients, dialects.weights(), clock, log, metrics);
        WeightsAgent agent = WeightsAgent.of(
                new WeightsSettings("rehearsal", HALL, node, control, "service", STOP_MILLIS, Integer.MAX_VALUE),
                weights);
        WeightsRelay relay = WeightsRelay.of(new WeightsRelay.RelaySettings(HALL, node, Integer.MAX_VALUE), weights);
        PublicationFollower follower = PublicationFollower.of(
                new PublicationFollower.Wiring(
                        reactor, clients, () -> List.of(node), HALL, dialects.document(), clock, log, metrics),
                published -> {
                    gateway.update(published);
                    agent.update(published);
                    relay.update(published);
                });
        HttpCalls caller = HttpCalls.on(reactor, clock);
        reactor.submit(() -> {
                    group.start();
                    gateway.start();
                    agent.start();
                    follower.start();
                    MetricsServer.of(reactor, clock, measured, metrics).listen();
                    return Promise.complete();
                })
                .join();
        for (int round = 0; round < 2; round++) {
            Thread.sleep(LENGTH_MILLIS / 2);
            reactor.execute(() -> caller.call(
                    measured.toSocketAddress(),
                    HttpHead.request("GET", "/metrics", List.of()),
                    new byte[0],
                    CALL_MILLIS));
            for (Call call : calls) {
                reactor.execute(() -> caller.call(
                        control.toSocketAddress(),
                        HttpHead.request(call.method(), call.target(), List.of()),
                        call.body(),
                        CALL_MILLIS));
            }
        }
        Thread.sleep(CALL_MILLIS);
        group.stop();
    }

    /** A call to the control process. */
    public record Call(String method, String target, byte[] body) {}

    private static Address freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new Address("127.0.0.1", socket.getLocalPort());
        }
    }
}
