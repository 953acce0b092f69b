package org.bankturn.harness;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.bankturn.result.ResultCode;
import org.junit.jupiter.api.Test;

/** Tests failures during requests, with real processes. */
class RequestFailureTest {
    private static final int ANSWERED = ResultCode.REQUEST_ANSWERED.number();

    /** Runs concurrent calls, each on its own thread. */
    private static List<CompletableFuture<Integer>> chatAtOnce(SmallDeployment deployment, String entry, int calls) {
        ExecutorService threads = Executors.newFixedThreadPool(calls);
        List<CompletableFuture<Integer>> results = new ArrayList<>();
        for (int call = 0; call < calls; call++) {
            results.add(CompletableFuture.supplyAsync(() -> deployment.chat(entry), threads));
        }
        threads.shutdown();
        return results;
    }

    @Test
    void callers_at_once_each_get_the_whole_answer_to_their_own_request() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            for (int round = 0; round < 4; round++) {
                chatAtOnce(deployment, "two-entry", 16).forEach(CompletableFuture::join);
                String id = UUID.randomUUID().toString();
                deployment.caller.callOnce(deployment.running.httpAddress("two-entry"), "account-2", "booking", id);
            }
            assertThat(deployment.statistics.incorrectCount()).isZero();
            assertThat(deployment.statistics.unknownCount())
                    .as("%s", deployment.statistics.firstFailures())
                    .isZero();
            assertThat(deployment.running.runsById()).hasSize(4);
        }
    }

    @Test
    void planned_stops_of_a_target_and_an_entry_process_cut_off_nothing() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            int refusedBefore = deployment.statistics.refusedCount();
            List<CompletableFuture<Integer>> running = chatAtOnce(deployment, "two-entry", 8);
            Await.until(
                    "the engine works",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.engine("two-assistant").startedAnswers() > 1);
            deployment.running.daemon("two-assistant").requestStop();
            deployment.running.daemon("two-entry").requestStop();
            assertThat(running).allSatisfy(call -> assertThat(call.join()).isEqualTo(ANSWERED));
            assertThat(deployment.running.daemon("two-assistant").awaitExit()).isEqualTo(143);
            assertThat(deployment.running.daemon("two-entry").awaitExit()).isEqualTo(143);
            assertThat(deployment.statistics.unknownCount())
                    .as("%s", deployment.statistics.firstFailures())
                    .isZero();
            assertThat(deployment.statistics.incorrectCount()).isZero();
            assertThat(deployment.statistics.refusedCount()).isEqualTo(refusedBefore);
            assertThat(deployment.chat("one-entry")).isEqualTo(ANSWERED);
        }
    }

    @Test
    void a_target_process_killed_while_it_answers_shows_a_cut_and_never_a_short_answer() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            int before = deployment.running.engine("two-assistant").startedAnswers();
            CompletableFuture<Integer> call =
                    chatAtOnce(deployment, "two-entry", 1).get(0);
            Await.until(
                    "the engine works",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.engine("two-assistant").startedAnswers() > before);
            deployment.running.daemon("two-assistant").kill();
            call.join();
            assertThat(deployment.statistics.incorrectCount())
                    .as("%s", deployment.statistics.firstFailures())
                    .isZero();
            Await.until(
                    "others answer", SmallDeployment.TIMEOUT_MILLIS, () -> deployment.chat("two-entry") == ANSWERED);
        }
    }

    @Test
    void a_keyed_request_runs_at_most_once_through_whatever_entry_it_is_retried() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            String id = UUID.randomUUID().toString();
            for (String entry : List.of("one-entry", "two-entry", "three-entry", "one-entry")) {
                String address = deployment.running.httpAddress(entry);
                int result = deployment.caller.callOnce(address, "account-1", "booking", id);
                assertThat(result).isEqualTo(ANSWERED);
            }
            assertThat(deployment.running.runsById()).containsEntry(id, 1);
        }
    }

    @Test
    void an_entry_process_killed_with_claims_in_hand_leaves_no_request_to_run_twice() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            List<String> ids = new ArrayList<>();
            ExecutorService threads = Executors.newFixedThreadPool(8);
            String doomed = deployment.running.httpAddress("three-entry");
            for (int call = 0; call < 64; call++) {
                String id = "doomed-" + call;
                ids.add(id);
                threads.execute(() -> deployment.caller.callOnce(doomed, "account-1", "booking", id));
            }
            Await.until(
                    "some ran",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.running.runsById().size() >= 4);
            deployment.running.daemon("three-entry").kill();
            String other = deployment.running.httpAddress("one-entry");
            for (String id : ids) {
                deployment.caller.callOnce(other, "account-1", "booking", id);
            }
            threads.shutdownNow();
            assertThat(deployment.statistics.executedRepeatedly(deployment.running.runsById()))
                    .isZero();
            assertThat(deployment.statistics.confirmedButNotExecuted(deployment.running.runsById()))
                    .isZero();
        }
    }

    @Test
    void a_hall_without_a_majority_serves_its_own_requests_and_refuses_keyed_ones_truthfully() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            deployment.running.daemon("two-entry").suspend();
            deployment.running.daemon("three-entry").suspend();
            String address = deployment.running.httpAddress("one-entry");
            assertThat(deployment.chat("one-entry")).isEqualTo(ANSWERED);
            int refused = deployment.caller.callOnce(address, "account-1", "booking", "cut-off");
            assertThat(refused).isEqualTo(ResultCode.NOT_RUN_NO_CLAIM.number());
            assertThat(deployment.running.runsById()).doesNotContainKey("cut-off");
            assertThat(deployment.caller.callWithoutKey(address, "account-1", "booking", "no-key"))
                    .isEqualTo(ANSWERED);
            deployment.running.daemon("two-entry").resume();
            deployment.running.daemon("three-entry").resume();
            Await.until(
                    "keyed requests run again",
                    SmallDeployment.TIMEOUT_MILLIS,
                    () -> deployment.caller.callOnce(address, "account-1", "booking", "healed") == ANSWERED);
            assertThat(deployment.statistics.executedRepeatedly(deployment.running.runsById()))
                    .isZero();
        }
    }

    @Test
    void an_account_is_not_served_in_a_hall_that_the_files_do_not_allow() throws IOException {
        try (SmallDeployment deployment = SmallDeployment.startServing()) {
            int refused = deployment.caller.chat(deployment.running.httpAddress("two-entry"), "account-10");
            assertThat(refused).isEqualTo(ResultCode.NOT_RUN_RESIDENCY.number());
            assertThat(deployment.caller.chat(deployment.running.httpAddress("one-entry"), "account-10"))
                    .isEqualTo(ANSWERED);
        }
    }
}
