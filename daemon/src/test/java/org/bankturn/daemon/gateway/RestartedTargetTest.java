package org.bankturn.daemon.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.bankturn.daemon.publication.PublishedState;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.RequestKind;
import org.bankturn.service.Service;
import org.junit.jupiter.api.Test;

/** Guards against a target that has restarted under its name being taken for its former start. */
class RestartedTargetTest extends GatewayFixture {
    private static final String NAME = "replica-7";
    private static final long BORN_MILLIS = 1_700_000_000_000L;
    private static final String BEGUN_RESPONSE = "\r\n\r\nab";
    private static final String WHOLE_RESPONSE = "\r\n\r\nwhole";

    @Test
    void a_response_cut_by_a_crash_is_not_complete_although_the_target_has_restarted_at_once() throws Exception {
        publishNamed(responding(
                BEGUN_RESPONSE, target -> register(target.crashAndSucceed(NAME, (number, id, socket) -> false))));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
    }

    @Test
    void a_response_is_complete_while_its_target_lives() throws Exception {
        publishNamed(responding(WHOLE_RESPONSE, target -> {}));
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    /** Guards against short responses, which end before a further connection is open, all counting as cut. */
    @Test
    void a_short_response_is_complete_once_one_of_its_service_was_delimited_by_its_connection() throws Exception {
        ScriptedTarget target = register(new ScriptedTarget((number, id, socket) -> {
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + WHOLE_RESPONSE);
            return false;
        }));
        publishNamed(target);
        call("POST", "first", "body");
        for (int number = 0; number < 10; number++) {
            assertThat(call("POST", "r" + number, "body"))
                    .startsWith("HTTP/1.1 200")
                    .endsWith("whole");
        }
    }

    /** Guards against an answer on a connection that the former start may not have accepted. */
    @Test
    void a_response_is_not_complete_if_no_connection_from_before_its_end_answers() throws Exception {
        ScriptedTarget target = responding(WHOLE_RESPONSE, each -> {});
        target.onCheck((expected, socket) -> {
            boolean first = target.checks.size() == 1;
            if (!first) {
                ScriptedTarget.write(socket, ScriptedTarget.answerOf(expected));
            }
            return !first;
        });
        publishNamed(target);
        assertThat(call("POST", "one", "body")).startsWith("HTTP/1.1 502");
        assertThat(target.checks).hasSizeGreaterThan(1);
    }

    /** What a target does after it has written its response. */
    @FunctionalInterface
    private interface TargetAction {
        void run(ScriptedTarget target) throws IOException;
    }

    /** Returns a target that writes a response, waits until it has accepted another connection or a second, and acts. */
    private ScriptedTarget responding(String text, TargetAction after) throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = register(new ScriptedTarget((number, id, socket) -> {
            int connections = self[0].connectionCount();
            ScriptedTarget.write(socket, "HTTP/1.1 200 OK\r\nId: " + id + text);
            for (int wait = 0; wait < 500 && self[0].connectionCount() == connections; wait++) {
                await(new CountDownLatch(1), 2);
            }
            after.run(self[0]);
            return false;
        }));
        return self[0];
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
