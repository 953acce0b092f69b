package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

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
import org.bankturn.daemon.publication.Published;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.SilencingRelay;
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

/**
 * The process beside an engine whose kept connection to it went silent.
 *
 * <p>The connection to one engine went silent for good while new ones worked. The process beside the engine asked for a
 * report on it, waited 1,500 ms for the answer, and told every gateway that asked meanwhile nothing: they had only a load of
 * more than a second ago, which counts as none, and so took the engine for one that cannot be reached.
 */
@Timeout(60)
class SilentEngineTest {
    private final Eventloop reactor =
            Eventloop.builder().withThreadName("silent-engine").build();
    private final Clock clock = Clock.system();
    private final DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "agent", clock);
    private final AtomicInteger reports = new AtomicInteger();
    private ServerSocket engine;
    private SilencingRelay relay;
    private WeightsAgent agent;

    @BeforeEach
    void start() throws IOException {
        engine = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startThread(this::acceptAll);
        relay = SilencingRelay.before(new Address("127.0.0.1", engine.getLocalPort()));
        reactor.keepAlive(true);
        startThread(reactor::run);
        agent = WeightsAgent.of(
                new WeightsSettings("agent", "north", FreeAddresses.next(), relay.address(), "chat", 8_000, 1_000_000),
                new WeightsWiring(
                        reactor, NodeClients.on(reactor), new CountingDialect(), clock, log, ServingMetrics.of(log)));
        publishLayout();
    }

    @AfterEach
    void stop() throws IOException {
        reactor.keepAlive(false);
        reactor.breakEventloop();
        relay.close();
        engine.close();
    }

    @Test
    void gateways_are_told_the_load_of_an_engine_whose_kept_connection_went_silent() {
        assertThat(askedLoad().active()).isEqualTo(1);
        relay.silence();
        assertThat(askedLoad()).isNotNull();
        assertThat(askedLoad().active()).isEqualTo(reports.get());
    }

    @Test
    void a_connection_to_an_engine_that_answers_is_used_again() {
        for (int report = 1; report <= 10; report++) {
            assertThat(askedLoad().active()).isEqualTo(report);
        }
        assertThat(relay.opened()).isLessThan(10);
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

    // ---- the engine

    private void acceptAll() throws IOException {
        while (!engine.isClosed()) {
            Socket socket = engine.accept();
            startThread(() -> answerReports(socket));
        }
    }

    /** Answers one report after the other on a connection that is kept. */
    private void answerReports(Socket socket) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] request = new byte[4_096];
        while (input.read(request) >= 0) {
            byte[] body = Integer.toString(reports.incrementAndGet()).getBytes(StandardCharsets.UTF_8);
            String head = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
            byte[] answer = (head + new String(body, StandardCharsets.UTF_8)).getBytes(StandardCharsets.UTF_8);
            socket.getOutputStream().write(answer);
        }
        socket.close();
    }

    private interface Task {
        void run() throws IOException;
    }

    private static void startThread(Task task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.run();
                    } catch (IOException e) {
                        // the test has ended
                    }
                },
                "silent-engine");
        thread.setDaemon(true);
        thread.start();
    }
}
