package org.bankturn.daemon.gateway;

import io.activej.eventloop.Eventloop;
import io.activej.promise.Promise;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.daemon.observe.ServingMetrics;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.daemon.wire.ConnectionObserver;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.registry.TargetSighting;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.time.Clock;

/** A gateway in a process of its own, with the heap of an entry process, in front of fixed targets. */
final class GatewayProcess implements AutoCloseable {
    private static final String HEAP = "-Xmx160m";
    private static final RetryLimits UNLIMITED_RETRIES = new RetryLimits(0.5, 96_000_000, 10_000);
    private static final long TIMEOUT_MILLIS = 60_000;
    private static final long STOP_SECONDS = 10;

    private final Process process;
    private final BufferedReader output;

    /** Starts a process and waits until it serves. */
    static GatewayProcess start(Address callers, List<String> targets) throws IOException {
        List<String> command = new ArrayList<>(List.of(
                ProcessHandle.current().info().command().orElseThrow(),
                HEAP,
                "-Xss256k",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                GatewayProcess.class.getName(),
                callers.toString(),
                FreeAddresses.next().toString(),
                FreeAddresses.next().toString()));
        command.addAll(targets);
        Process process = new ProcessBuilder(command)
                .redirectError(new File("target/gateway-process.err"))
                .start();
        GatewayProcess started = new GatewayProcess(process);
        started.awaitLine();
        return started;
    }

    private GatewayProcess(Process process) {
        this.process = process;
        this.output = process.inputReader(StandardCharsets.UTF_8);
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the heap that is in use after a collection, in bytes. */
    long usedHeapBytes() throws IOException {
        process.outputWriter(StandardCharsets.UTF_8).append("heap\n").flush();
        return Long.parseLong(awaitLine());
    }

    private String awaitLine() throws IOException {
        String line = output.readLine();
        if (line == null) {
            throw new IOException("the gateway has ended");
        }
        return line;
    }

    /** Ends the process, which stops at the end of its input. */
    @Override
    public void close() throws IOException {
        process.outputWriter(StandardCharsets.UTF_8).close();
        try {
            if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- in the process

    /** Serves until the end of the input; arguments: the addresses for callers, readiness and other processes, the targets. */
    public static void main(String[] arguments) throws Exception {
        Clock clock = Clock.system();
        Eventloop reactor = Eventloop.builder().withThreadName("gateway").build();
        DecisionLog log = DecisionLog.startTo(OutputStream.nullOutputStream(), "gateway", clock);
        Address node = Address.parse(arguments[2]);
        Gateway gateway = Gateway.of(
                new GatewaySettings(
                        "gateway",
                        "north",
                        Address.parse(arguments[0]),
                        Address.parse(arguments[1]),
                        node,
                        UNLIMITED_RETRIES,
                        1_000,
                        20_000),
                new PlainDialect(),
                new PlainHealthDialect(),
                reactor,
                NodeClients.on(reactor, clock, ConnectionObserver.NONE),
                command -> {},
                clock,
                log,
                ServingMetrics.of(log));
        reactor.keepAlive(true);
        Thread thread = new Thread(reactor, "gateway");
        thread.setDaemon(true);
        thread.start();
        PublishedState published = published(node, List.of(arguments).subList(3, arguments.length));
        reactor.submit(() -> {
                    gateway.start();
                    gateway.update(published, clock.millis());
                    return Promise.complete();
                })
                .join();
        System.out.println("ready");
        answerHeapQuestions();
    }

    private static PublishedState published(Address node, List<String> addresses) {
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        Map<String, TargetSighting> sightings = new HashMap<>();
        sightings.put(
                "relay", new TargetSighting("relay", WeightsRelay.SERVICE, node.toString(), "north", 0, false, -1, 1));
        for (String address : addresses) {
            sightings.put(
                    "t-" + address, new TargetSighting("t-" + address, "chat", address, "north", 16, false, -1, 1));
        }
        return new PublishedState(
                1,
                GatewayFixture.configuration(RequestKind.IDEMPOTENT, 2, TIMEOUT_MILLIS, service),
                List.of(),
                sightings,
                List.of(),
                true);
    }

    private static void answerHeapQuestions() throws IOException {
        BufferedReader input = new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        while (input.readLine() != null) {
            System.gc();
            Runtime runtime = Runtime.getRuntime();
            System.out.println(runtime.totalMemory() - runtime.freeMemory());
        }
    }
}
