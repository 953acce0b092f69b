package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.IOException;
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
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The process beside an engine that says in its reports how many it has given. */
@Timeout(30)
class WeightsAgentTest {
    private final Eventloop reactor =
            Eventloop.builder().withThreadName("agent-test").build();
    private final Clock clock = Clock.system();
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "agent", clock);
    private final AtomicInteger reports = new AtomicInteger();
    private ServerSocket engine;
    private WeightsAgent agent;

    @BeforeEach
    void start() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        new Thread(this::answerReports, "engine").start();
        reactor.keepAlive(true);
        new Thread(reactor, "agent-test").start();
        agent = WeightsAgent.of(
                new WeightsSettings(
                        "agent",
                        "north",
                        FreeAddresses.next(),
                        new Address("127.0.0.1", engine.getLocalPort()),
                        "chat",
                        8_000,
                        1_000_000),
                new WeightsWiring(
                        reactor, NodeClients.on(reactor), new CountingDialect(), clock, log, ServingMetrics.of(log)));
    }

    @AfterEach
    void stop() throws IOException {
        engine.close();
        reactor.keepAlive(false);
        reactor.breakEventloop();
    }

    /** What was said some tenths of a second ago is too old where an engine is nearly full. */
    @Test
    void a_gateway_is_told_what_the_engine_says_when_it_asks() {
        publishLayout();
        assertThat(askedLoad().active()).isEqualTo(1);
        assertThat(askedLoad().active()).isEqualTo(2);
        assertThat(askedLoad().active()).isEqualTo(3);
    }

    @Test
    void without_a_layout_nothing_is_known_and_the_engine_is_left_alone() {
        assertThat(askedLoad()).isNull();
        assertThat(reports).hasValue(0);
    }

    private void publishLayout() {
        Service service = new Service("chat", "/health", 100, null, new WeightsLayout("m", 1, 4, 100), null, null);
        ServingConfiguration configuration =
                ServingConfiguration.of(1, List.of(), List.of(service), ClientLimits.DEFAULT, List.of());
        reactor.submit(() -> {
                    agent.update(new Published(1, configuration, List.of(), Map.of(), true));
                    return Promise.complete();
                })
                .join();
    }

    private EngineLoad askedLoad() {
        NodeReply reply = reactor.submit(() -> agent.giveLoad()).join();
        return ((NodeReply.Load) reply).load();
    }

    private void answerReports() {
        try {
            while (true) {
                try (Socket socket = engine.accept()) {
                    socket.getInputStream().read(new byte[4_096]);
                    byte[] body = Integer.toString(reports.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
                    String head = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + body.length + "\r\n\r\n";
                    socket.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
                    socket.getOutputStream().write(body);
                }
            }
        } catch (IOException e) {
            // the test has ended
        }
    }
}
