package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.Set;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.service.EngineModel;
import org.junit.jupiter.api.Test;

class RetryAfterTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private final UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(3);

    @Test
    void a_caller_comes_back_when_answers_that_are_under_way_have_ended() {
        for (int count = 0; count < 100; count++) {
            assertThat(RetryAfter.forBusyEngines(ENGINE, random)).isBetween(1_000L, 2_500L);
        }
    }

    @Test
    void callers_that_are_refused_together_come_back_apart() {
        Set<Long> moments = new HashSet<>();
        for (int count = 0; count < 100; count++) {
            moments.add(RetryAfter.forBusyEngines(ENGINE, random));
        }
        assertThat(moments).hasSizeGreaterThan(40);
    }
}
