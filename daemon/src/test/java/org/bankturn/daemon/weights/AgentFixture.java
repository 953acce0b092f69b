package org.bankturn.daemon.weights;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.BackgroundThread;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.routing.EngineLoad;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightsLayout;
import org.bankturn.time.Clock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

/** Base class of tests with an agent and an engine whose reports count how many were served. */
abstract class AgentFixture {
    final AtomicInteger reports = new AtomicInteger();
    private final Eventloop reactor =
            Eventloop.builder().withThreadName("agent-test").build();
    private final Clock clock = Clock.system();
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "agent", clock);
    private ServerSocket engine;
    private WeightsAgent agent;

    @BeforeEach
    void start() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        BackgroundThread.start("engine", this::acceptAll);
        reactor.keepAlive(true);
        BackgroundThread.start("agent-test", reactor::run);
        agent = WeightsAgent.of(
                new WeightsSettings(
                        "agent",
                        "north",
                        FreeAddresses.next(),
                        routeTo(new Address("127.0.0.1", engine.getLocalPort())),
                        "chat",
                        8_000,
                        1_000_000),
                new WeightsDependencies(
                        reactor, NodeClients.on(reactor), new CountingDialect(), clock, log, ServingMetrics.of(log)));
    }

    @AfterEach
    void stop() throws IOException {
        reactor.keepAlive(false);
        reactor.breakEventloop();
        engine.close();
    }

    /** Returns the address at which the agent reaches the engine. */
    Address routeTo(Address engineAddress) throws IOException {
        return engineAddress;
    }

    void publishLayout() {
        Service service = new Service("chat", "/health", 100, null, new WeightsLayout("m", 1, 4, 100), null, null);
        ServingConfiguration configuration =
                ServingConfiguration.of(1, List.of(), List.of(service), ClientLimits.DEFAULT, List.of());
        reactor.submit(() -> {
                    agent.update(new PublishedState(1, configuration, List.of(), Map.of(), List.of(), true));
                    return Promise.complete();
                })
                .join();
    }

    /** Requests the engine's load as a gateway does; null if it is unknown. */
    EngineLoad requestLoad() {
        NodeReply reply = reactor.submit(() -> agent.reportLoad()).join();
        return ((NodeReply.Load) reply).load();
    }

    private void acceptAll() throws IOException {
        while (!engine.isClosed()) {
            Socket socket = engine.accept();
            BackgroundThread.start("engine-connection", () -> answerReports(socket));
        }
    }

    /** Answers each request on a persistent connection with a report. */
    private void answerReports(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] request = new byte[4_096];
        while (input.read(request) >= 0) {
            String body = Integer.toString(reports.incrementAndGet());
            String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
            socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
        }
        socket.close();
    }
}
