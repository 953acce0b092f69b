package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.bankturn.daemon.gateway.FragileTarget;
import org.bankturn.daemon.gateway.PlainDialect;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.bankturn.daemon.group.PlainControlDialect;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.FreeAddresses;
import org.bankturn.daemon.settings.ProcessRole;
import org.bankturn.daemon.weights.PlainWeightsDialect;
import org.bankturn.routing.RetryLimits;
import org.bankturn.service.Account;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.DocumentFormat;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A request that ends its targets and comes to one gateway after the other.
 *
 * <p>On a site with seven gateways 44 targets ended under one request within 8 s, while it came now to one gateway, now to
 * another: each sent it to two more targets ("failed ... attempts used up, sends 2"), and none told the others what it saw.
 */
@Timeout(60)
class DeadlyRequestAtASiteTest {
    private static final int TARGETS = 24;
    private static final int CALLS_AFTERWARDS = 20;
    private static final String DEADLY = "deadly";

    /** What two gateways send before each knows of the third end: three each, and a further send under way at both. */
    private static final int ENDS_BEFORE_BOTH_KNOW = 8;

    private static final ServingSettings.Bounds BOUNDS =
            new ServingSettings.Bounds(1_000, 2_000, 8_000, new RetryLimits(0.5, 960, 10_000));

    @TempDir
    private Path folder;

    private final Address control = FreeAddresses.next();
    private final Address controlNode = FreeAddresses.next();
    private final List<ScriptedTarget> targets = new ArrayList<>();
    private final AtomicInteger ended = new AtomicInteger();

    @BeforeEach
    void startSite() throws Exception {
        start(ProcessRole.CONTROL, control);
        for (int index = 0; index < TARGETS; index++) {
            ScriptedTarget target = FragileTarget.endingWith(DEADLY, ended);
            targets.add(target);
            untilAccepted("/beat/t" + index + "/ready/1/" + target.address(), "");
        }
        untilAccepted("/put", "1");
    }

    @AfterEach
    void closeTargets() throws IOException {
        for (ScriptedTarget target : targets) {
            target.close();
        }
    }

    @Test
    void three_ends_at_different_gateways_condemn_a_request_at_all_of_them() throws Exception {
        Address one = startGateway();
        Address other = startGateway();
        for (int call = 0; call < TARGETS / 4; call++) {
            call(one, DEADLY);
            call(other, DEADLY);
        }
        assertThat(ended.get()).isBetween(3, ENDS_BEFORE_BOTH_KNOW);
        int endedBefore = ended.get();
        Address startedLater = startGateway();
        for (int call = 0; call < CALLS_AFTERWARDS; call++) {
            assertThat(call(one, DEADLY)).isEqualTo(429);
            assertThat(call(other, DEADLY)).isEqualTo(429);
            assertThat(call(startedLater, DEADLY)).isEqualTo(429);
        }
        assertThat(ended.get()).isEqualTo(endedBefore);
        assertThat(call(startedLater, "sound")).isEqualTo(200);
    }

    // ---- the site

    /** Starts a gateway, and returns where it is called once it knows the targets, not null. */
    private Address startGateway() throws Exception {
        Address callers = FreeAddresses.next();
        start(ProcessRole.ENTRY, callers);
        while (call(callers, "sound") != 200) {
            Thread.onSpinWait();
        }
        return callers;
    }

    private void start(ProcessRole role, Address callAddress) throws IOException {
        boolean controls = role == ProcessRole.CONTROL;
        ServingSettings settings = new ServingSettings(
                "test-" + callAddress.port(),
                role,
                "north",
                callAddress,
                controls ? null : FreeAddresses.next(),
                controls ? controlNode : FreeAddresses.next(),
                null,
                controls ? folder.toString() : null,
                controls,
                List.of(controlNode),
                null,
                null,
                1_000_000,
                BOUNDS);
        Dialects dialects =
                new Dialects(format(), new PlainDialect(), new PlainControlDialect(), new PlainWeightsDialect());
        ServingProcess.of(settings, new UnchangedSettings(settings), dialects)
                .start()
                .join();
    }

    private record UnchangedSettings(ServingSettings settings) implements SettingsSource {
        @Override
        public long stamp() {
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

    private void untilAccepted(String target, String body) throws IOException {
        while (post(control, target, body) != 200) {
            Thread.onSpinWait();
        }
    }

    private static int call(Address gateway, String body) throws IOException {
        return post(gateway, "/x/1", body);
    }

    private static int post(Address to, String target, String body) throws IOException {
        try (Socket socket = new Socket(to.host(), to.port())) {
            String id = "r" + socket.getLocalPort();
            ScriptedTarget.write(
                    socket,
                    "POST " + target + " HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\nDeadline: 5000\r\nKey: k\r\n"
                            + "Connection: close\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
            InputStream answer = new BufferedInputStream(socket.getInputStream());
            String head = new String(answer.readAllBytes(), StandardCharsets.ISO_8859_1);
            return Integer.parseInt(head.substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length()));
        }
    }
}
