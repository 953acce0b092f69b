package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Collection;
import org.bankturn.standin.EngineStandin;
import org.junit.jupiter.api.Test;

/** Tests failures during the distribution of weights, with real processes. */
class WeightsFailureTest {
    private static Collection<String> loadedBy(SmallDeployment deployment, String box) {
        return deployment.running.engine(box).loaded().values();
    }

    @Test
    void a_corrupting_origin_stops_the_copy_with_a_note_and_nothing_is_loaded() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.running.origin().setCorrupting(true);
            deployment.apply(1, "v1");
            Await.until(
                    "operators are told",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> notes(deployment).contains("3002"));
            assertThat(loadedBy(deployment, "one-assistant")).isEmpty();
            deployment.running.origin().setCorrupting(false);
            deployment.apply(2, "v2");
            Await.until(
                    "the next version arrives",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.enginesWith(SmallDeployment.WEIGHTS_V2) == 3);
        }
    }

    private static String notes(SmallDeployment deployment) {
        try {
            JsonNode processes = deployment.read("status", "one-entry").path("processes");
            return processes.findValuesAsText("note").toString();
        } catch (IOException e) {
            return "";
        }
    }

    @Test
    void a_version_changed_midway_is_never_mixed_with_the_next() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.apply(1, "v1");
            deployment.apply(2, "v2");
            Await.until(
                    "the second version arrives",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.enginesWith(SmallDeployment.WEIGHTS_V2) == 3);
            for (DeploymentPlan.TargetBox target : deployment.running.plan().targets()) {
                if (target.service().equals(DeploymentPlan.ASSISTANT)) {
                    assertThat(loadedBy(deployment, target.name()))
                            .isSubsetOf(SmallDeployment.WEIGHTS_V1.digest(), SmallDeployment.WEIGHTS_V2.digest());
                }
            }
            deployment.awaitServing();
            assertThat(deployment.statistics.incorrectCount()).isZero();
        }
    }

    @Test
    void target_processes_killed_during_the_copy_start_again_and_finish_it() throws IOException {
        EngineStandin.Settings withoutFenceCheck = new EngineStandin.Settings(false, 10, 5, 20);
        try (SmallDeployment deployment = SmallDeployment.start(withoutFenceCheck)) {
            deployment.apply(1, "v1");
            for (String box : new String[] {"one-assistant", "three-assistant"}) {
                DaemonHandle target = deployment.running.daemon(box);
                target.kill();
                target.start();
                target.awaitReady();
            }
            Await.until(
                    "every engine serves",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.enginesWith(SmallDeployment.WEIGHTS_V1) == 3);
            double copies = deployment
                    .running
                    .origin()
                    .copiesSent(SmallDeployment.WEIGHTS_V1.manifest().digest());
            assertThat(copies).isLessThanOrEqualTo(4.0);
        }
    }

    @Test
    void a_second_process_for_the_same_box_does_not_start() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            DaemonHandle first = deployment.running.daemon("one-assistant");
            DaemonHandle second = first.duplicate();
            second.start();
            assertThat(second.awaitExit()).isEqualTo(4);
            assertThat(first.isAlive()).isTrue();
        }
    }
}
