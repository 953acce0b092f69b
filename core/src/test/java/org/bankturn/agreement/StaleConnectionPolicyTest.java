package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against an election when all established connections silently stop delivering while new ones work. */
class StaleConnectionPolicyTest {
    private static final long WARM_UP_MILLIS = 5_000;
    private static final long ELECTION_TIMEOUT_MILLIS = 500;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void group_with_silent_connections_keeps_its_leader_and_commits_within_the_election_timeout(long seed) {
        StaleConnectionSimulation simulation = new StaleConnectionSimulation(seed);
        simulation.advance(WARM_UP_MILLIS + 10 * seed);
        RaftNode leader = simulation.cluster.leader();
        long term = leader.term();
        simulation.silenceOpenConnections();
        simulation.cluster.propose(leader, "first");
        long index = leader.lastIndex();
        simulation.advance(ELECTION_TIMEOUT_MILLIS);
        assertThat(simulation.cluster.leader()).isSameAs(leader);
        assertThat(leader.term()).isEqualTo(term);
        assertThat(leader.commitIndex()).isGreaterThanOrEqualTo(index);
        simulation.advance(WARM_UP_MILLIS);
        assertThat(simulation.cluster.leader().term()).isEqualTo(term);
    }
}
