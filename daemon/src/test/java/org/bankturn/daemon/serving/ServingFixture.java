package org.bankturn.daemon.serving;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.daemon.gateway.PlainDialect;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.group.PlainControlDialect;
import org.bankturn.daemon.http.PlainHealthDialect;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.daemon.weights.PlainWeightsDialect;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.RegionMap;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Base class of tests with a control process on loopback and the gateways and targets that a test adds. */
@Timeout(60)
abstract class ServingFixture {
    private static final ServingSettings.Bounds BOUNDS =
            new ServingSettings.Bounds(1_000, 2_000, 8_000, new RetryLimits(0.5, 96_000_000, 10_000), 1);

    @TempDir
    private Path folder;

    final Address control = FreeAddresses.next();
    private final Address controlNode = FreeAddresses.next();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final Map<Address, ServingProcess> gateways = new ConcurrentHashMap<>();

    private ServingProcess controlProcess;

    @BeforeEach
    void startControl() throws IOException {
        controlProcess = start(ProcessRole.CONTROL, control);
    }

    @AfterEach
    void closeTargets() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    // ---- targets and configuration

    /** Registers a target with the control process. */
    ScriptedTarget announce(ScriptedTarget target) throws IOException {
        targets.add(target);
        announceAgain(target, 1);
        return target;
    }

    /** Sends another heartbeat of a registered target. */
    void announceAgain(ScriptedTarget target, long sequence) throws IOException {
        String id = "t" + (targets.indexOf(target) + 1);
        postUntilAccepted("/beat/" + id + "/ready/" + sequence + "/" + target.address(), "");
    }

    /** Publishes the configuration that routes requests to the targets. */
    void configure() throws IOException {
        postUntilAccepted("/put", "1");
    }

    // ---- processes

    /** Starts a gateway and returns its address for callers once it serves requests, not null. */
    Address startGateway() throws Exception {
        Address callers = FreeAddresses.next();
        gateways.put(callers, start(ProcessRole.ENTRY, callers));
        while (call(callers, "sound") != 200) {
            Thread.onSpinWait();
        }
        return callers;
    }

    /** Stops the control process in an orderly way; its connections stay, as those of a process that is about to exit. */
    void stopControl() {
        controlProcess.stop();
    }

    /** Stops a gateway in an orderly way. */
    void stopGateway(Address callers) {
        gateways.remove(callers).stop();
    }

    private ServingProcess start(ProcessRole role, Address callAddress) throws IOException {
        ServingProcess process = create(role, callAddress);
        process.start().join();
        return process;
    }

    /** Returns a process that is not started, not null. */
    ServingProcess create(ProcessRole role, Address callAddress) {
        boolean isControl = role == ProcessRole.CONTROL;
        ServingSettings settings = new ServingSettings(
                "test-" + callAddress.port(),
                role,
                "north",
                callAddress,
                isControl ? null : FreeAddresses.next(),
                isControl ? controlNode : FreeAddresses.next(),
                null,
                isControl ? folder.toString() : null,
                isControl,
                List.of(controlNode),
                null,
                null,
                1_000_000,
                BOUNDS,
                RegionMap.NONE);
        Dialects dialects = new Dialects(
                format(),
                new PlainDialect(),
                new PlainControlDialect(),
                new PlainHealthDialect(),
                new PlainWeightsDialect());
        return ServingProcess.of(settings, new UnchangedSettings(settings), dialects);
    }

    private record UnchangedSettings(ServingSettings settings) implements SettingsSource {
        @Override
        public long modificationStamp() {
            return 1;
        }

        @Override
        public Result read() {
            return new Result(settings, List.of());
        }
    }

    private static DocumentFormat format() {
        Route route = new Route(
                "r",
                "h",
                "/x/",
                RequestKind.IDEMPOTENT,
                5_000,
                300,
                0,
                List.of(new WeightedService("chat", 1)),
                2,
                false);
        return document -> ServingConfiguration.of(
                Long.parseLong(new String(document, StandardCharsets.UTF_8)),
                List.of(route),
                List.of(new Service("chat", "/health", 100, null, null, null, null)),
                ClientLimits.DEFAULT,
                List.of(new Account("acme", List.of("k"), 0)));
    }

    // ---- calls

    private void postUntilAccepted(String target, String body) throws IOException {
        while (post(control, target, body) != 200) {
            Thread.onSpinWait();
        }
    }

    static int call(Address gateway, String body) throws IOException {
        return post(gateway, "/x/1", body);
    }

    /** Calls a gateway with a prompt of the given parts; returns the response status. */
    static int callWithParts(Address gateway, String parts, String body) throws IOException {
        return status(exchangeWithParts(gateway, parts, body));
    }

    /** Calls a gateway with a prompt of the given parts; returns the whole response, not null. */
    static String exchangeWithParts(Address gateway, String parts, String body) throws IOException {
        return exchange(gateway, "POST", "/x/1", "Parts: " + parts + "\r\n", body);
    }

    /** Returns the whole HTTP response to an operator's request, not null. */
    String operator(String method, String target) throws IOException {
        return exchange(control, method, target, "", "");
    }

    private static int post(Address to, String target, String body) throws IOException {
        return status(exchange(to, "POST", target, "", body));
    }

    private static int status(String answer) {
        return Integer.parseInt(answer.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
    }

    private static String exchange(Address to, String method, String target, String fields, String body)
            throws IOException {
        try (Socket socket = new Socket(to.host(), to.port())) {
            String id = "r" + socket.getLocalPort();
            ScriptedTarget.write(
                    socket,
                    method + " " + target + " HTTP/1.1\r\nHost: h\r\nId: " + id
                            + "\r\n" + fields + "Deadline: 5000\r\nKey: k\r\nConnection: close\r\nContent-Length: "
                            + body.length()
                            + "\r\n\r\n" + body);
            InputStream answer = new BufferedInputStream(socket.getInputStream());
            return new String(answer.readAllBytes(), StandardCharsets.ISO_8859_1);
        }
    }
}
