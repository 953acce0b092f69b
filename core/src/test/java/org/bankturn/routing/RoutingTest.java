package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.bankturn.admission.AdmissionDecision;
import org.bankturn.admission.FairAdmission;
import org.bankturn.configuration.Box;
import org.bankturn.configuration.ClientAccount;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.FileRecord;
import org.bankturn.membership.TargetStatus;
import org.bankturn.membership.TargetView;
import org.bankturn.result.ResultCode;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class RoutingTest {
    private static final String MANIFEST = "a".repeat(64);
    private static final String FILE = """
        name: all
        number: 1
        dataHalls: [{name: here, region: r}, {name: there, region: r}, {name: abroad, region: s}]
        models:
          - {name: m, dataHalls: [here, there], version: v, policy: origin-bytes, entersServiceAt: 1}
        versions: [{model: m, name: v, manifest: %s, origin: '10.0.0.9:1'}]
        services: [{name: chat, model: m, requestsAtOnce: 2}, {name: plain, requestsAtOnce: 2}]
        clientAccounts:
          - {name: wide, weight: 1, dataHalls: [here, there, abroad]}
          - {name: narrow, weight: 1, dataHalls: [here]}
        boxes:
        """.formatted(MANIFEST);

    private final ManualClock clock = ManualClock.startingAt(1_000);
    private final TargetView view = TargetView.using(clock);
    private final Configuration configuration = configuration();
    private final TargetSelector selector = TargetSelector.of(configuration, view, "here");

    private static Configuration configuration() {
        StringBuilder text = new StringBuilder(FILE);
        for (String hall : List.of("here", "there", "abroad")) {
            for (String service : List.of("chat", "plain")) {
                text.append("  - {name: " + hall + "-" + service + ", dataHall: " + hall + ", service: " + service
                        + ", httpAddress: '10.0.0.1:1', nodeAddress: '10.0.0.1:2'}\n");
            }
        }
        assertThat(Configuration.empty().check("all", text.toString())).isEmpty();
        return Configuration.of(
                3, List.of(new FileRecord("all", 1, 3, "me", "", text.toString())), Map.of("m", MANIFEST));
    }

    private void everyBoxServes() {
        configuration.boxes().forEach(box -> view.recordStatus(status(box.name(), false)));
    }

    private static TargetStatus status(String box, boolean leaving) {
        return new TargetStatus(box, List.of(MANIFEST), leaving, 0);
    }

    private List<String> candidates(String service, String account) {
        ClientAccount client = configuration.clientAccount(account).orElseThrow();
        return selector.candidates(configuration.service(service).orElseThrow(), client, Set.of()).stream()
                .map(Box::name)
                .toList();
    }

    @Test
    void local_hall_comes_first_and_others_only_where_allowed() {
        everyBoxServes();
        assertThat(candidates("chat", "wide")).containsExactly("here-chat");
        view.recordFailure("here-chat");
        assertThat(candidates("chat", "wide")).containsExactly("there-chat");
        view.recordFailure("there-chat");
        assertThat(candidates("chat", "wide")).isEmpty();
        assertThat(candidates("chat", "narrow")).isEmpty();
        view.recordFailure("here-plain");
        assertThat(candidates("plain", "narrow")).isEmpty();
        assertThat(candidates("plain", "wide")).containsExactlyInAnyOrder("there-plain", "abroad-plain");
    }

    @Test
    void weights_are_not_assigned_to_halls_that_the_model_does_not_allow() {
        Box abroad = configuration.box("abroad-chat").orElseThrow();
        assertThat(configuration.modelServedBy(abroad)).isEmpty();
        assertThat(configuration.boxesServing(configuration.model("m").orElseThrow()))
                .extracting(Box::name)
                .containsExactly("here-chat", "there-chat");
    }

    @Test
    void any_source_may_report_that_a_target_leaves() {
        everyBoxServes();
        view.setListedLeaving(Set.of("here-chat"));
        assertThat(candidates("chat", "narrow")).isEmpty();
        view.setListedLeaving(Set.of());
        view.recordLeavingRefusal("here-chat");
        assertThat(candidates("chat", "narrow")).isEmpty();
        view.recordStatus(status("here-chat", false));
        assertThat(candidates("chat", "narrow")).containsExactly("here-chat");
        view.recordStatus(status("here-chat", true));
        assertThat(candidates("chat", "narrow")).isEmpty();
    }

    @Test
    void target_without_the_version_in_service_is_not_eligible() {
        view.recordStatus(new TargetStatus("here-chat", List.of("b".repeat(64)), false, 0));
        assertThat(candidates("chat", "narrow")).isEmpty();
    }

    @Test
    void unknown_outcome_is_no_proof_of_non_execution() {
        assertThatThrownBy(() -> NotRunProof.rejectedByTargetProcess(ResultCode.OUTCOME_UNKNOWN))
                .isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> NotRunProof.rejectedByTargetProcess(ResultCode.ATTEMPT_DOUBLED))
                .isInstanceOf(IllegalArgumentException.class);
        AttemptOutcome<String> unknown = new AttemptOutcome.Unknown<>("cut");
        assertThat(unknown.mayTryAnother(false)).isFalse();
        assertThat(new AttemptOutcome.NotRun<String>(NotRunProof.neverConnected()).mayTryAnother(false))
                .isTrue();
    }

    @Test
    void retries_stay_within_their_share_of_requests() {
        RetryBudget budget = RetryBudget.of(0.1, 5, 10_000, clock);
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.recordRequest();
            retries += budget.tryRetry() ? 1 : 0;
        }
        assertThat(retries).isBetween(95, 105);
    }

    @Test
    void flooding_account_does_not_starve_a_small_one() {
        FairAdmission admission = new FairAdmission();
        int admitted = 0;
        for (int request = 0; request < 300; request++) {
            admitted += admit(admission, "large", 9) ? 1 : 0;
        }
        assertThat(admitted).isBetween(75, 90);
        List<Boolean> small = new ArrayList<>();
        for (int request = 0; request < 10; request++) {
            small.add(admit(admission, "small", 1));
        }
        assertThat(small).doesNotContain(false);
    }

    private static boolean admit(FairAdmission admission, String account, int weight) {
        FairAdmission.Candidate candidate = new FairAdmission.Candidate(account, weight, 10, 100, 1_000);
        return admission.decide(candidate) instanceof AdmissionDecision.Admitted;
    }

    @Test
    void rejection_under_load_has_a_retry_delay() {
        FairAdmission admission = new FairAdmission();
        for (int request = 0; request < 300; request++) {
            admit(admission, "large", 9);
        }
        assertThat(admission.running()).isLessThanOrEqualTo(100);
        AdmissionDecision decision = admission.decide(new FairAdmission.Candidate("large", 9, 10, 100, 1_000));
        assertThat(((AdmissionDecision.Refused) decision).retryAfterMillis()).isPositive();
        AdmissionDecision late = admission.decide(new FairAdmission.Candidate("small", 1, 10, 100, 0));
        assertThat(((AdmissionDecision.Refused) late).code()).isEqualTo(ResultCode.NOT_RUN_DEADLINE);
    }
}
