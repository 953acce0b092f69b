package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.publication.NamedWeights;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightsLayout;
import org.junit.jupiter.api.Test;

/** Tests behaviour that depends on the configuration, on weights versions and on graceful shutdown. */
class GatewayStateTest extends GatewayFixture {
    @Test
    void unknown_keys_and_paths_are_distinguished_from_a_missing_configuration() throws Exception {
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 503");
        publish(RequestKind.IDEMPOTENT, 1, answering("x", ""));
        assertThat(exchange("GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a2\r\nKey: other\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 401");
        assertThat(exchange("GET /y/1 HTTP/1.1\r\nHost: h\r\nId: a3\r\nKey: k\r\nConnection: close\r\n\r\n"))
                .startsWith("HTTP/1.1 404");
    }

    /** A restarted gateway may know only an outdated configuration. */
    @Test
    void an_unconfirmed_configuration_yields_503_instead_of_401_or_404() throws Exception {
        confirmed = false;
        publish(RequestKind.IDEMPOTENT, 2, answering("ok", ""));
        String unknownKey = "GET /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: other\r\nConnection: close\r\n\r\n";
        String unknownRoute = "GET /y/1 HTTP/1.1\r\nHost: h\r\nId: a2\r\nKey: k\r\nConnection: close\r\n\r\n";
        assertThat(exchange(unknownKey)).startsWith("HTTP/1.1 503");
        assertThat(exchange(unknownRoute)).startsWith("HTTP/1.1 503");
        assertThat(call("GET", "a3", "")).startsWith("HTTP/1.1 200");
        confirmed = true;
        publish(RequestKind.IDEMPOTENT, 2);
        assertThat(exchange(unknownKey)).startsWith("HTTP/1.1 401");
        assertThat(exchange(unknownRoute)).startsWith("HTTP/1.1 404");
    }

    /** The first publication after a start may lack versions, so the age of one that follows is unknown. */
    @Test
    void a_version_first_published_after_a_start_is_not_overdue_at_once() throws Exception {
        ScriptedTarget target = answering("ok", "");
        Service engines = new Service("chat", "/health", 100, null, new WeightsLayout("m", 1, 4, 10), null, null);
        Map<String, TargetSighting> sightings =
                Map.of("t", new TargetSighting("t", "chat", target.address(), "north", 4, false, 1, 1));
        ServingConfiguration configuration = configuration(RequestKind.IDEMPOTENT, 1, 2_000, engines);
        List<NamedWeights> named = List.of(new NamedWeights("m", 2, 2));
        update(new PublishedState(1, configuration, List.of(), sightings, List.of(), false), LONG_AGO);
        update(new PublishedState(2, configuration, named, sightings, List.of(), true), LONG_AGO);
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 200");
    }

    @Test
    void a_graceful_shutdown_completes_requests_and_fails_the_readiness_check_at_once() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedTarget target = new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        });
        targets.add(target);
        publish(RequestKind.UNSAFE, 1, target);
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            ScriptedTarget.write(
                    socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nId: a1\r\nKey: k\r\nContent-Length: 0\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
            var stopped = reactor.submit(gateway::stop);
            assertThat(getReadiness()).startsWith("HTTP/1.1 503");
            release.countDown();
            String answer = readAll(socket.getInputStream());
            assertThat(answer).endsWith("done").contains("Connection: close");
            stopped.join();
        }
    }

    /** Guards against accepting a request that the end of the shutdown would interrupt. */
    @Test
    void late_in_a_graceful_shutdown_new_requests_are_refused_and_earlier_ones_complete() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            await(release);
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: 4\r\n\r\ndone");
            return true;
        }));
        publish(RequestKind.UNSAFE, 1, 15_000, target);
        try (Socket socket = new Socket(callerAddress.host(), callerAddress.port())) {
            String id = "a1";
            ScriptedTarget.write(
                    socket, "POST /x/1 HTTP/1.1\r\nHost: h\r\nKey: k\r\nContent-Length: 0\r\nId: " + id + "\r\n\r\n");
            while (target.heads.isEmpty()) {
                pause();
            }
            var stopped = reactor.submit(gateway::stop);
            String late = "";
            while (!late.startsWith("HTTP/1.1 503")) {
                pause();
                late = exchange("HEAD /nowhere HTTP/1.1\r\nHost: h\r\nId: late\r\nConnection: close\r\n\r\n");
            }
            assertThat(late).contains("Come-Back: ").contains("Connection: close");
            assertThat(call("POST", "a2", "x")).startsWith("HTTP/1.1 503");
            assertThat(target.heads).hasSize(1);
            release.countDown();
            assertThat(readAll(socket.getInputStream())).endsWith("done");
            stopped.join();
        }
    }
}
