package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.agreement.MemberLossSimulation.Contacts;
import org.bankturn.agreement.MemberLossSimulation.Network;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs seeded simulations of losses. {@code -Dbankturn.losses} sets the number of seeds and {@code -Dbankturn.losses.first}
 * the first one.
 */
class MemberLossTest {
    private static final int SCHEDULES = Integer.getInteger("bankturn.losses", 15);
    private static final long FIRST_SEED = Long.getLong("bankturn.losses.first", 1);

    /** Guards against members that were lost at the same time and stay voting members for ever. */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 8})
    void group_survives_losses_of_two_members_one_after_the_other(int size) {
        assertThat(failures(size, Contacts.ALL, Network.RELIABLE)).isEmpty();
    }

    /** Guards against empty boxes that never become members because none of the boxes they know leads. */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 8})
    void group_survives_losses_while_empty_boxes_know_three_members_only(int size) {
        assertThat(failures(size, Contacts.THREE_SEEDS, Network.RELIABLE)).isEmpty();
    }

    /** Guards against a join that a lost or repeated message prevents for good. */
    @ParameterizedTest
    @ValueSource(ints = {5, 6, 8})
    void group_survives_losses_while_messages_are_lost_and_repeated(int size) {
        assertThat(failures(size, Contacts.THREE_SEEDS, Network.LOSSY)).isEmpty();
    }

    /** Guards against boxes that lost their disks and are no members yet when the next disks are lost. */
    @ParameterizedTest
    @ValueSource(ints = {3, 5, 6, 8})
    void group_survives_losses_of_disks_while_boxes_still_copy_the_log(int size) {
        assertThat(failures(size, Contacts.THREE_SEEDS, Network.SLOW_COPIES)).isEmpty();
    }

    private static List<String> failures(int size, Contacts contacts, Network network) {
        List<String> failures = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SCHEDULES; seed++) {
            try {
                new MemberLossSimulation(seed, size, contacts, network).run();
            } catch (AssertionError | java.util.NoSuchElementException e) {
                failures.add("seed " + seed + ": " + e.getMessage());
            }
        }
        return failures;
    }
}
