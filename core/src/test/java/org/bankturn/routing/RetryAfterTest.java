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
    void retry_delay_covers_running_requests() {
        for (int count = 0; count < 100; count++) {
            assertThat(RetryAfter.forBusyEngines(ENGINE, random)).isBetween(1_000L, 2_500L);
        }
    }

    @Test
    void retry_delays_are_jittered() {
        Set<Long> delays = new HashSet<>();
        for (int count = 0; count < 100; count++) {
            delays.add(RetryAfter.forBusyEngines(ENGINE, random));
        }
        assertThat(delays).hasSizeGreaterThan(40);
    }
}
