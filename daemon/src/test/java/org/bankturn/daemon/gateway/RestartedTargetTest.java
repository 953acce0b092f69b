package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.junit.jupiter.api.Test;

/** Guards against a target that has restarted under its name being taken for its former start. */
class RestartedTargetTest extends GatewayFixture {
    private static final String NAME = "replica-7";
    private static final long BORN_MILLIS = 1_700_000_000_000L;
    private static final String BODY = "body of a response";

    private final AtomicBoolean first = new AtomicBoolean(true);

    @Test
    void a_response_cut_by_a_crash_is_not_complete_although_the_target_has_restarted_at_once() throws Exception {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = responding(id -> {
            if (id.equals("cut")) {
                register(self[0].crashAndSucceed(NAME, (number, request, socket) -> false));
            }
        });
        publishNamed(self[0]);
        assertThat(callAfterFirst("cut")).startsWith("HTTP/1.1 502");
    }

    /** Guards against all responses of such a target counting as cut. */
    @Test
    void responses_are_complete_while_their_target_lives() throws Exception {
        publishNamed(responding(id -> {}));
        for (int number = 0; number < 10; number++) {
            assertThat(callAfterFirst("r" + number)).startsWith("HTTP/1.1 200").endsWith(BODY);
        }
    }

    /** Guards against an answer on a connection that the former start may not have accepted. */
    @Test
    void a_response_is_not_complete_if_no_connection_from_before_its_request_answers() throws Exception {
        ScriptedTarget target = responding(id -> {});
        publishNamed(target);
        String unused = callAfterFirst("other");
        target.checks.clear();
        target.onCheck((expected, socket) -> {
            boolean first = target.checks.size() == 1;
            if (!first) {
                ScriptedTarget.write(socket, ScriptedTarget.answerOf(expected));
            }
            return !first;
        });
        assertThat(callAfterFirst("one")).startsWith("HTTP/1.1 502");
        assertThat(target.checks).hasSizeGreaterThan(1);
    }

    /** Calls after another call has shown that the service's responses end with their connections. */
    private String callAfterFirst(String id) throws IOException {
        if (first.getAndSet(false)) {
            String unused = call("POST", "first", "body");
        }
        return call("POST", id, "body");
    }

    /** What a target does after it has written its response to a request. */
    @FunctionalInterface
    private interface TargetAction {
        void run(String id) throws IOException;
    }

    private ScriptedTarget responding(TargetAction after) throws IOException {
        return register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + "\r\n\r\n" + BODY);
            after.run(id);
            return false;
        }));
    }

    private void publishNamed(ScriptedTarget target) {
        String id = TargetSighting.incarnation(NAME, BORN_MILLIS);
        TargetSighting sighting =
                new TargetSighting(id, NAME, BORN_MILLIS, "chat", target.address(), "north", 4, false, -1, 1);
        Service service = new Service("chat", "/health", 100, null, null, null, null);
        update(
                new PublishedState(
                        1,
                        configuration(RequestKind.UNSAFE, 1, 4_000, service),
                        List.of(),
                        Map.of(id, sighting),
                        List.of(),
                        confirmed),
                clock.millis());
    }
}
