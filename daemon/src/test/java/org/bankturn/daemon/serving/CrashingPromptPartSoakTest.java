package org.bankturn.daemon.serving;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Random;
import org.bankturn.daemon.gateway.CrashingTarget.CrashResponse;
import org.bankturn.daemon.gateway.ScriptedTarget;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A seeded soak: requests with a crashing prompt part beside sound ones. */
@Timeout(120)
class CrashingPromptPartSoakTest extends CrashSoakFixture {
    private static final String CRASHING = "bad";
    private static final int CRASHES_BEFORE_LIMIT = 5;

    private CrashResponse crashResponse;

    @ParameterizedTest
    @MethodSource("seeds")
    void a_crashing_part_is_stopped_everywhere_and_its_neighbours_are_served(long seed) throws Exception {
        Random random = new Random(seed);
        crashResponse = List.of(CrashResponse.values()).get(random.nextInt(CrashResponse.values().length));
        run(random);
        check(CRASHES_BEFORE_LIMIT);
    }

    @Override
    void callCrashing(Random random) throws IOException {
        pause(SOUND_ONLY_MILLIS);
        boolean first = random.nextBoolean();
        while (isRunning()) {
            String body = "crashing" + calls.incrementAndGet();
            String popular = "popular" + random.nextInt(POPULAR_PARTS);
            String parts = (first ? CRASHING + "," + popular : popular + "," + CRASHING) + "," + body;
            assertThat(callSomeGateway(random, parts, body)).doesNotContain("HTTP/1.1 200");
            pause(40 + random.nextInt(160));
        }
    }

    @Override
    ScriptedTarget newTarget() throws IOException {
        ScriptedTarget[] self = new ScriptedTarget[1];
        self[0] = new ScriptedTarget((number, id, socket) -> {
            String body = self[0].bodies.get(number - 1);
            if (ScriptedTarget.field(self[0].heads.get(number - 1), "parts").contains(CRASHING)) {
                recordCrash();
                ScriptedTarget.write(socket, crashResponse.text(id));
                removed(self[0]);
                self[0].crash();
                return false;
            }
            return answer(id, body, socket);
        });
        return self[0];
    }
}
