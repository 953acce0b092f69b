package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import org.bankturn.crash.RequestFingerprint;
import org.bankturn.crash.Suspect;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against crashes that count against no request because their target neither refuses connections nor answers, and
 * against planned ends that count as crashes.
 */
class TargetEndEvidenceTest extends GatewayFixture {
    private static final int TARGETS = 3;
    private static final int MAX_POLLS = 500;
    private static final long SHORT_TIMEOUT_MILLIS = 300;
    private static final long LONG_TIMEOUT_MILLIS = 4_000;
    private static final Service SERVICE = new Service("chat", "/health", 100, null, null, null, null);

    private final Map<String, TargetSighting> published = new HashMap<>();
    private final List<ScriptedTarget> hanging = new ArrayList<>();
    private final CountDownLatch ending = new CountDownLatch(1);
    private long timeoutMillis = LONG_TIMEOUT_MILLIS;
    private long index;

    @BeforeEach
    void startTargets() throws IOException {
        for (int number = 0; number < TARGETS; number++) {
            ScriptedTarget target = register(new ScriptedTarget((count, id, socket) -> {
                await(ending);
                return false;
            }));
            hanging.add(target);
        }
    }

    @Test
    void a_request_given_up_at_targets_that_were_replaced_is_condemned() throws Exception {
        for (ScriptedTarget target : hanging) {
            giveUpAt(target);
            target.hang();
            publishOnly(sighting("next-" + target.address(), target.address(), false));
        }
        assertThat(call("POST", "last", "x")).startsWith("HTTP/1.1 429");
    }

    @Test
    void a_request_given_up_at_targets_that_another_gateway_saw_crash_is_condemned() throws Exception {
        List<String> crashed = new ArrayList<>();
        List<Suspect> others = new ArrayList<>();
        for (ScriptedTarget target : hanging) {
            giveUpAt(target);
            target.hang();
            crashed.add(idOf(target));
            RequestFingerprint other = new RequestFingerprint(1, crashed.size());
            others.add(new Suspect(other, List.of(idOf(target)), 0, null, ++index));
        }
        publish(Set.of(), others);
        assertThat(call("POST", "last", "x")).startsWith("HTTP/1.1 429");
        awaitReports();
        assertThat(reportedTargets()).containsExactlyInAnyOrderElementsOf(crashed);
    }

    @Test
    void crashes_of_leaving_targets_condemn_a_request() throws Exception {
        for (ScriptedTarget target : hanging) {
            CompletableFuture<String> call = callInProgressAt(target);
            publishOnly(sighting(idOf(target), target.address(), true));
            target.crash();
            assertThat(call.join()).startsWith("HTTP/1.1 502");
        }
        awaitReports();
        assertThat(call("POST", "last", "x")).startsWith("HTTP/1.1 429");
    }

    @Test
    void planned_ends_of_leaving_targets_count_against_no_request() throws Exception {
        for (ScriptedTarget target : hanging) {
            CompletableFuture<String> call = callInProgressAt(target);
            publishOnly(sighting(idOf(target), target.address(), true));
            published.clear();
            publish(Set.of(idOf(target)), List.of());
            target.crash();
            assertThat(call.join()).startsWith("HTTP/1.1 502");
        }
        ScriptedTarget sound = answering("ok", "");
        publishOnly(sighting(idOf(sound), sound.address(), false));
        assertThat(call("POST", "last", "x")).startsWith("HTTP/1.1 200");
        assertThat(reportedTargets()).isEmpty();
    }

    private void giveUpAt(ScriptedTarget target) throws IOException {
        timeoutMillis = SHORT_TIMEOUT_MILLIS;
        publishOnly(sighting(idOf(target), target.address(), false));
        assertThat(call("POST", "r" + target.address(), "x")).startsWith("HTTP/1.1 504");
    }

    private CompletableFuture<String> callInProgressAt(ScriptedTarget target) {
        publishOnly(sighting(idOf(target), target.address(), false));
        CompletableFuture<String> call = CompletableFuture.supplyAsync(() -> {
            try {
                return call("POST", "r" + target.address(), "x");
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        while (target.bodies.isEmpty()) {
            Thread.onSpinWait();
        }
        return call;
    }

    private void awaitReports() {
        for (int poll = 0; poll < MAX_POLLS && reportedTargets().size() < TARGETS; poll++) {
            pause();
        }
        assertThat(reportedTargets()).hasSize(TARGETS);
    }

    private List<String> reportedTargets() {
        return publicationCommands.stream()
                .filter(PublicationCommand.RecordOutcomes.class::isInstance)
                .flatMap(each -> ((PublicationCommand.RecordOutcomes) each).ended().stream())
                .map(each -> each.target())
                .toList();
    }

    private void publishOnly(TargetSighting target) {
        published.clear();
        published.put(target.id(), target);
        publish(Set.of(), List.of());
    }

    private void publish(Set<String> left, List<Suspect> suspects) {
        update(
                new PublishedState(
                        ++index,
                        configuration(RequestKind.IDEMPOTENT, 1, timeoutMillis, SERVICE),
                        List.of(),
                        published,
                        suspects,
                        confirmed,
                        List.of(),
                        List.of(),
                        left),
                clock.millis());
    }

    private static String idOf(ScriptedTarget target) {
        return "t-" + target.address();
    }

    private static TargetSighting sighting(String id, String address, boolean leaving) {
        return new TargetSighting(id, "chat", address, "north", 4, leaving, -1, 1);
    }
}
