package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.daemon.weights.WeightsRelay;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.Account;
import org.bankturn.service.AllowedRegions;
import org.bankturn.service.ClientLimits;
import org.bankturn.service.RegionMap;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Route;
import org.bankturn.service.Service;
import org.bankturn.service.ServingConfiguration;
import org.bankturn.service.WeightedService;
import org.junit.jupiter.api.Test;

/** Tests that requests reach only targets in the regions that their route and account allow. */
class RegionRoutingTest extends GatewayFixture {
    private static final AllowedRegions EAST = AllowedRegions.of(List.of("east"));
    private static final AllowedRegions WEST = AllowedRegions.of(List.of("west"));
    private static final int CALLS = 20;

    private final Map<String, TargetSighting> sightings = new HashMap<>();

    @Override
    RegionMap regions() {
        return new RegionMap(Map.of("north", "east", "south", "west"));
    }

    /** Guards against the account's regions not reaching the decision, while the local targets are preferred. */
    @Test
    void requests_of_a_restricted_account_reach_only_targets_in_its_regions() throws Exception {
        ScriptedTarget local = place(answering("near", ""), "north");
        ScriptedTarget allowed = place(answering("far", ""), "south");
        publishRegions(RequestKind.IDEMPOTENT, AllowedRegions.ANY, WEST);
        for (int number = 0; number < CALLS; number++) {
            assertThat(call("GET", "a" + number, "")).endsWith("far");
        }
        assertThat(local.heads).isEmpty();
        assertThat(allowed.heads).hasSize(CALLS);
    }

    /** Guards against a retry or a held request where no target is allowed, and against an unexplained rejection. */
    @Test
    void request_without_a_target_in_its_regions_is_rejected_with_a_retry_time_a_line_and_a_count() throws Exception {
        ScriptedTarget local = place(answering("near", ""), "north");
        publishRegions(RequestKind.IDEMPOTENT, WEST, AllowedRegions.ANY);
        assertThat(call("GET", "a1", "")).startsWith("HTTP/1.1 503").contains("Come-Back: 5000");
        assertThat(log.awaitLine(DecisionKind.REFUSED, "a1"))
                .contains("\"cause\":\"regions\"")
                .contains("no target left in regions west");
        assertThat(new String(metrics.metricsText(), StandardCharsets.UTF_8))
                .contains("bankturn_refusals_total{cause=\"regions\",service=\"chat\"} 1.0");
        assertThat(local.heads).isEmpty();
    }

    /** Guards against a retry by the regions that were allowed when the request arrived. */
    @Test
    void request_whose_regions_change_while_it_waits_is_retried_only_in_the_new_ones() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch changed = new CountDownLatch(1);
        ScriptedTarget one = place(notRunAfter(received, changed), "north");
        ScriptedTarget other = place(notRunAfter(received, changed), "north");
        ScriptedTarget newlyAllowed = place(answering("far", ""), "south");
        publishRegions(RequestKind.IDEMPOTENT, EAST, AllowedRegions.ANY);
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> callUnchecked("a1"));
        await(received);
        publishRegions(RequestKind.IDEMPOTENT, WEST, AllowedRegions.ANY);
        changed.countDown();
        assertThat(response.join()).startsWith("HTTP/1.1 200").endsWith("far");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(1);
        assertThat(newlyAllowed.heads).hasSize(1);
    }

    /** Guards against a begun stream that is resumed by the regions that were allowed when it began. */
    @Test
    void stream_whose_regions_change_while_it_runs_is_resumed_only_in_the_new_ones() throws Exception {
        CountDownLatch received = new CountDownLatch(1);
        CountDownLatch changed = new CountDownLatch(1);
        ScriptedTarget one = place(breakingOffAfter(received, changed), "north");
        ScriptedTarget other = place(breakingOffAfter(received, changed), "north");
        ScriptedTarget newlyAllowed = place(
                register(new ScriptedTarget((number, id, socket) -> {
                    ScriptedTarget.write(
                            socket,
                            "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                                    + chunk("id: 2\ndata: far\n\n") + "0\r\n\r\n");
                    return true;
                })),
                "south");
        publishRegions(RequestKind.RESUMABLE_STREAM, EAST, AllowedRegions.ANY);
        CompletableFuture<String> response = CompletableFuture.supplyAsync(() -> callUnchecked("a1"));
        await(received);
        publishRegions(RequestKind.RESUMABLE_STREAM, WEST, AllowedRegions.ANY);
        changed.countDown();
        assertThat(response.join()).contains("data: near").contains("data: far").endsWith("0\r\n\r\n");
        assertThat(one.heads.size() + other.heads.size()).isEqualTo(1);
        assertThat(newlyAllowed.heads).hasSize(1);
    }

    /** Guards against the trial of a suspect request being sent outside the regions, which may change while it is granted. */
    @Test
    void trial_of_a_condemned_request_reaches_only_targets_in_its_regions() throws Exception {
        ScriptedTarget local = place(answering("near", ""), "north");
        ScriptedTarget allowed = place(answering("far", ""), "south");
        RequestFingerprint fingerprint = RequestFingerprint.of("/x/1", "acme", new byte[0]);
        List<String> ended = List.of("e1", "e2", "e3");
        publishRegions(
                RequestKind.IDEMPOTENT, EAST, AllowedRegions.ANY, List.of(new Suspect(fingerprint, ended, 0, null, 1)));
        CompletableFuture<String> response = CompletableFuture.supplyAsync(this::callUntilTried);
        PublicationCommand.TakeTrial trial = awaitTrial();
        publishRegions(
                RequestKind.IDEMPOTENT,
                WEST,
                AllowedRegions.ANY,
                List.of(new Suspect(fingerprint, ended, 1, trial.who(), 2)));
        assertThat(response.join()).startsWith("HTTP/1.1 200").endsWith("far");
        assertThat(local.heads).isEmpty();
        assertThat(allowed.heads).hasSize(1);
    }

    /** Repeats a request that is refused as condemned until a trial of it is answered. */
    private String callUntilTried() {
        String response = callUnchecked("a1");
        while (response.startsWith("HTTP/1.1 429")) {
            pause();
            response = callUnchecked("a1");
        }
        return response;
    }

    private PublicationCommand.TakeTrial awaitTrial() {
        while (true) {
            for (PublicationCommand command : publicationCommands) {
                if (command instanceof PublicationCommand.TakeTrial trial) {
                    return trial;
                }
            }
            pause();
        }
    }

    // ---- targets

    private ScriptedTarget notRunAfter(CountDownLatch received, CountDownLatch changed) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            received.countDown();
            await(changed);
            ScriptedTarget.write(
                    socket, "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return true;
        }));
    }

    private ScriptedTarget breakingOffAfter(CountDownLatch received, CountDownLatch changed) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(
                    socket,
                    "HTTP/1.1 200 OK\r\nId: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\n"
                            + chunk("id: 1\ndata: near\n\n"));
            received.countDown();
            await(changed);
            return false;
        }));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private ScriptedTarget place(ScriptedTarget target, String dataHall) {
        String id = "t-" + target.address();
        sightings.put(id, new TargetSighting(id, "chat", target.address(), dataHall, 4, false, -1, 1));
        return target;
    }

    // ---- configuration and calls

    private void publishRegions(RequestKind kind, AllowedRegions ofRoute, AllowedRegions ofAccount) {
        publishRegions(kind, ofRoute, ofAccount, List.of());
    }

    private void publishRegions(
            RequestKind kind, AllowedRegions ofRoute, AllowedRegions ofAccount, List<Suspect> suspects) {
        // the retry budget depends on the number of gateways, this one included
        sightings.put(
                "relay-test",
                new TargetSighting(
                        "relay-test", WeightsRelay.SERVICE, nodeAddress.toString(), "north", 0, false, -1, 1));
        Route route = new Route(
                "r", "h", "/x/", kind, 5_000, 300, 0, List.of(new WeightedService("chat", 1)), 2, false, ofRoute, 0);
        ServingConfiguration configuration = ServingConfiguration.of(
                1,
                List.of(route),
                List.of(new Service("chat", "/health", 100, null, null, null, null)),
                ClientLimits.DEFAULT,
                List.of(new Account("acme", List.of("k"), 0, ofAccount)));
        update(new PublishedState(1, configuration, List.of(), sightings, suspects, confirmed), clock.millis());
    }

    private String callUnchecked(String id) {
        try {
            return call("GET", id, "");
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
