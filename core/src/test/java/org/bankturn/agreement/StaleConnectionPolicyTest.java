package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * A group whose members' connections all went silent for good at one moment, while new ones worked.
 *
 * <p>Members gave a connection up only when a message had stayed without an answer for a second. Their leader steps down
 * when it has not heard from a majority for half a second, so every silence cost an election, and the first votes were lost
 * on silent connections as well: two groups of three had a leader again after 1,730 and 1,937 ms, and accepted no change
 * until then.
 */
class StaleConnectionPolicyTest {
    private static final long SETTLED_MILLIS = 5_000;
    private static final long HALF_A_SECOND = 500;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void a_group_whose_connections_went_silent_keeps_its_leader_and_accepts_changes_within_half_a_second(long seed) {
        StaleConnectionSimulation group = new StaleConnectionSimulation(seed);
        group.advance(SETTLED_MILLIS + 10 * seed);
        RaftNode leader = group.members.leader();
        long term = leader.term();
        group.silenceOpenConnections();
        group.members.propose(leader, "first");
        long index = leader.lastIndex();
        group.advance(HALF_A_SECOND);
        assertThat(group.members.leader()).isSameAs(leader);
        assertThat(leader.term()).isEqualTo(term);
        assertThat(leader.commitIndex()).isGreaterThanOrEqualTo(index);
        group.advance(SETTLED_MILLIS);
        assertThat(group.members.leader().term()).isEqualTo(term);
    }
}
