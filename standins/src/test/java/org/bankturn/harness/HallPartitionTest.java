package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.bankturn.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests a data hall that is partitioned from the others, with real processes and relays. */
class HallPartitionTest {
    private static final int ANSWERED = ResultCode.REQUEST_ANSWERED.number();

    @Test
    void a_cut_off_hall_serves_what_it_can_and_joins_again_without_a_revert() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            String leader = deployment.leader();
            String hall = leader.substring(0, leader.indexOf('-'));
            String other = leader.equals("two-entry") ? "three-entry" : "two-entry";
            String address = deployment.running.httpAddress(leader);
            long before = deployment.indexAt(leader);
            deployment.running.setPartitioned(hall, true);
            Await.until("the others accept a file", SmallDeployment.TIMEOUT_MILLIS, () -> {
                try {
                    return deployment.applyThrough(deployment.running.httpAddress(other), 2, "v2", "majority") == 0;
                } catch (IOException e) {
                    return false;
                }
            });
            assertThat(deployment.chat(leader)).isEqualTo(ANSWERED);
            assertThat(deployment.caller.callOnce(address, "account-1", "booking", "cut"))
                    .isEqualTo(ResultCode.NOT_RUN_NO_CLAIM.number());
            assertThat(deployment.applyThrough(address, 2, "v1", "minority")).isEqualTo(5);
            assertThat(deployment.indexAt(leader)).isGreaterThanOrEqualTo(before);
            deployment.awaitFile(other, 2);
            long accepted = deployment.indexAt(other);
            deployment.running.setPartitioned(hall, false);
            deployment.awaitIndex(leader, accepted);
            Await.until(
                    "keyed requests run again",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.caller.callOnce(address, "account-1", "booking", "healed") == ANSWERED);
            assertThat(deployment.applyThrough(address, 2, "v1", "minority")).isEqualTo(3);
            assertThat(deployment.running.runsById()).doesNotContainKey("cut").containsEntry("healed", 1);
            assertThat(deployment.statistics.incorrectCount()).isZero();
        }
    }

    @Test
    void a_planned_stop_of_the_leading_control_box_is_hardly_noticed() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.apply(1, "v1");
            String leader = deployment.leader();
            String other = leader.equals("two-entry") ? "three-entry" : "two-entry";
            deployment.running.daemon(leader).stop();
            assertThat(deployment.applyThrough(deployment.running.httpAddress(other), 2, "v2", "after"))
                    .isZero();
        }
    }
}
