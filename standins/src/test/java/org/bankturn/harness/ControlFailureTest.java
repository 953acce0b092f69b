package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;

/** Tests failures of control boxes and of configuration followers, with real processes. */
class ControlFailureTest {
    @Test
    void a_box_that_lost_its_disk_is_admitted_and_a_second_may_be_lost_right_after() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            assertThat(deployment.apply(1, "v1")).isZero();
            for (String box : List.of("three-entry", "two-entry")) {
                loseDiskOf(deployment, box);
            }
            assertThat(deployment.apply(2, "v2")).isZero();
            deployment.awaitFile("two-entry", 2);
            JsonNode history = deployment.read("history", "two-entry");
            assertThat(history.path("files")).hasSize(2);
        }
    }

    private static void loseDiskOf(SmallDeployment deployment, String box) throws IOException {
        DaemonHandle daemon = deployment.running.daemon(box);
        daemon.kill();
        deployment.running.deleteData(box);
        daemon.start();
        daemon.awaitReady();
        Await.until(box + " is a member as a new incarnation", SmallDeployment.TIMEOUT_MILLIS, () -> {
            try {
                JsonNode members = deployment.read("status", "one-entry").path("members");
                return members.size() == 3 && !members.toString().contains("\"" + box + "#1\"");
            } catch (IOException e) {
                return false;
            }
        });
    }

    @Test
    void a_leader_frozen_for_long_wakes_without_reverting_anything() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.apply(1, "v1");
            String leader = deployment.leader();
            String other = leader.equals("two-entry") ? "three-entry" : "two-entry";
            DaemonHandle frozen = deployment.running.daemon(leader);
            frozen.suspend();
            Await.until("another box leads and accepts", SmallDeployment.TIMEOUT_MILLIS, () -> {
                try {
                    return deployment.applyThrough(deployment.running.httpAddress(other), 2, "v2", "after") == 0;
                } catch (IOException e) {
                    return false;
                }
            });
            deployment.awaitFile(other, 2);
            long accepted = deployment.indexAt(other);
            frozen.resume();
            assertThat(deployment.applyThrough(deployment.running.httpAddress(leader), 2, "v1", "late"))
                    .isEqualTo(3);
            deployment.awaitIndex(leader, accepted);
            assertThat(deployment.read("history", leader).path("files")).hasSize(2);
        }
    }

    @Test
    void of_operators_who_race_with_one_number_exactly_one_wins() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.apply(1, "v1");
            List<CompletableFuture<Integer>> racers = new ArrayList<>();
            for (DeploymentPlan.EntryBox entry : deployment.running.plan().entries()) {
                String text = Files.readString(deployment.running.folder().resolve("operators-1.yaml"))
                        .replace("number: 1", "number: 2")
                        .replace("region: region", "region: by-" + entry.name());
                Path file = deployment.running.folder().resolve(entry.name() + ".yaml");
                Files.writeString(file, text);
                String address = deployment.running.httpAddress(entry.name());
                racers.add(CompletableFuture.supplyAsync(() ->
                        SmallDeployment.tool("apply", "--addresses", address, "--by", entry.name(), file.toString())));
            }
            List<Integer> exits =
                    racers.stream().map(CompletableFuture::join).sorted().toList();
            assertThat(exits).containsExactly(0, 3, 3);
        }
    }

    @Test
    void a_restarted_process_never_shows_an_older_configuration() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.start(SmallDeployment.ENGINE)) {
            deployment.apply(1, "v1");
            deployment.apply(2, "v2");
            deployment.awaitFile("one-entry", 2);
            long index = deployment.indexAt("one-entry");
            deployment.awaitIndex("three-entry", index);
            DaemonHandle restarted = deployment.running.daemon("three-entry");
            restarted.kill();
            restarted.start();
            restarted.awaitReady();
            assertThat(deployment.indexAt("three-entry")).isGreaterThanOrEqualTo(index);
        }
    }

    /**
     * Followers show an accepted file with a delay, so the configurations are compared only once every process shows the
     * file and has its version in service.
     */
    @Test
    void a_bad_file_changes_nothing_and_a_resent_one_gets_the_same_answer() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            List<JsonNode> shown = shownEverywhere(deployment);
            assertThat(shown).allSatisfy(each -> assertThat(each.path("files")).hasSize(1));
            assertThat(deployment.apply(2, "no-such-version")).isEqualTo(3);
            assertThat(deployment.applyThrough(deployment.running.httpAddress("two-entry"), 1, "v1", "again"))
                    .isZero();
            assertThat(shownEverywhere(deployment)).isEqualTo(shown);
            assertThat(deployment.read("history", deployment.leader()).path("files"))
                    .hasSize(1);
        }
    }

    /** Returns the configuration that each entry process shows. */
    private static List<JsonNode> shownEverywhere(SmallDeployment deployment) throws IOException {
        List<JsonNode> shown = new ArrayList<>();
        for (DeploymentPlan.EntryBox entry : deployment.running.plan().entries()) {
            shown.add(deployment.read("show", entry.name()));
        }
        return shown;
    }
}
