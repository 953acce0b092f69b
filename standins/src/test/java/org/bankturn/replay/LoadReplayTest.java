package org.bankturn.replay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Replays the load patterns of examples/load, deterministically and regardless of the load on the machine. */
class LoadReplayTest {
    private static final Path FOLDER = Path.of("../examples/load");
    private static final long SEED = 1;

    /** Guards against gateways that all choose the same engines while others are idle. */
    @Test
    void engines_that_join_are_used_and_do_not_leave_others_full() throws IOException {
        ReplayResult present = replay("joins", PlacementRule.PRESENT);
        assertThat(present.credit()).isGreaterThan(0.93);
        assertThat(present.worstSecond()).isGreaterThan(0.88);
        assertThat(present.interrupted()).isLessThan(0.005);
        assertThat(replay("joins", PlacementRule.WATCH_ALL).credit()).isLessThan(0.80);
    }

    /** Guards against a polling rate that grows with the product of gateways and engines. */
    @Test
    void questions_follow_the_requests_and_not_gateways_times_engines() throws IOException {
        assertThat(replay("joins", PlacementRule.PRESENT).loadPolls()).isLessThan(2.5);
        assertThat(replay("joins", PlacementRule.WATCH_ALL).loadPolls()).isGreaterThan(50);
    }

    @Test
    void nearly_as_much_as_engines_bear_is_answered_in_time() throws IOException {
        ReplayResult present = replay("steady-90", PlacementRule.PRESENT);
        assertThat(present.credit())
                .isGreaterThan(0.85)
                .isGreaterThan(replay("steady-90", PlacementRule.RANDOM).credit() + 0.10);
    }

    /** Guards against retries that take slots from first attempts under overload, though they are already late. */
    @Test
    void while_there_are_too_few_places_for_all_first_tries_get_them() throws IOException {
        assertThat(inTimeShareOfCapacity("steady-130", 1.3)).isGreaterThan(0.8);
        assertThat(inTimeShareOfCapacity("steady-200", 2.0)).isGreaterThan(0.8);
    }

    private static double inTimeShareOfCapacity(String name, double load) throws IOException {
        double inTime = 0;
        for (long seed = 1; seed <= 3; seed++) {
            inTime += replay(name, PlacementRule.PRESENT, seed).inTime() / 3;
        }
        return inTime * load;
    }

    /** Guards against callers that are lost although their retry comes after the shortage has passed. */
    @Test
    void callers_who_come_back_after_a_shortage_are_served() throws IOException {
        ReplayResult result = replay("part-dark", PlacementRule.PRESENT);
        assertThat(result.lostAfterRetry()).isLessThan(0.02);
        assertThat(result.credit()).isGreaterThan(0.88);
    }

    /** Polling before placement must yield more credit than periodic polling. */
    @Test
    void questions_before_a_request_are_worth_more_than_as_many_in_turn() throws IOException {
        double beforePlacement = 0;
        double periodic = 0;
        for (long seed = 1; seed <= 4; seed++) {
            beforePlacement += LoadReplay.run(pattern("steady-90"), PlacementRule.PRESENT.settings(), seed)
                    .credit();
            periodic += LoadReplay.run(pattern("steady-90"), PlacementRule.ASK_IN_TURN.settings(), seed)
                    .credit();
        }
        assertThat(beforePlacement).isGreaterThan(periodic);
    }

    /** Guards against streams that are moved to an engine that is about to update its weights. */
    @Test
    void while_engines_change_one_after_the_other_fewer_answers_are_cut_where_gateways_know_whose_turn_is_next()
            throws IOException {
        double interrupted = 0;
        double interruptedBlind = 0;
        double credit = 0;
        double creditBlind = 0;
        for (long seed = 1; seed <= 4; seed++) {
            ReplayResult present = replay("rolling-change", PlacementRule.PRESENT, seed);
            ReplayResult blind = replay("rolling-change", PlacementRule.BLIND_TO_BREAK_OFFS, seed);
            interrupted += present.interrupted();
            interruptedBlind += blind.interrupted();
            credit += present.credit();
            creditBlind += blind.credit();
        }
        assertThat(interrupted).isLessThan(0.75 * interruptedBlind);
        assertThat(credit).isGreaterThan(creditBlind);
    }

    @Test
    void slow_and_silent_engines_cost_little_beside_others() throws IOException {
        assertThat(replay("part-dark", PlacementRule.PRESENT).credit()).isGreaterThan(0.88);
        assertThat(replay("part-slow", PlacementRule.PRESENT).credit()).isGreaterThan(0.89);
    }

    /** Guards against requests to engines that are slow while their load reports do not show it yet. */
    @Test
    void engines_that_slow_down_in_turn_are_avoided_by_the_pace_of_their_events() throws IOException {
        double credit = 0;
        for (long seed = 1; seed <= 4; seed++) {
            credit += replay("uneven", PlacementRule.PRESENT, seed).credit() / 4;
        }
        assertThat(credit).isGreaterThan(0.805);
    }

    @Test
    void a_replay_with_the_same_seed_repeats() throws IOException {
        assertThat(replay("step", PlacementRule.PRESENT)).isEqualTo(replay("step", PlacementRule.PRESENT));
    }

    @Test
    void a_pattern_that_cannot_be_read_is_told_with_number_file_line_and_field() {
        LoadPatternReader.Result read = LoadPatternReader.read("p.yaml", "name: x\nseconds: many\n");
        assertThat(read.pattern()).isNull();
        List<String> errors = read.errors().stream().map(Object::toString).toList();
        assertThat(errors).anyMatch(error -> error.startsWith("1004 p.yaml:2:") && error.contains("seconds"));
        assertThat(errors).anyMatch(error -> error.startsWith("1003 p.yaml:") && error.contains("halls"));
    }

    /** Guards against a repeated request that crashes every engine on which it runs. */
    @Test
    void a_request_that_ends_its_engines_is_stopped_soon_after_the_third() throws IOException {
        for (long seed = 1; seed <= 4; seed++) {
            assertThat(replay("deadly", PlacementRule.PRESENT, seed).engineCrashes())
                    .isLessThanOrEqualTo(6);
            assertThat(replay("deadly-among-crashes", PlacementRule.PRESENT, seed)
                            .engineCrashes())
                    .isLessThanOrEqualTo(7);
        }
    }

    /** Guards against unrelated engine crashes that condemn harmless requests; these are rare, so 40 seeds are replayed. */
    @Test
    void hardly_any_sound_request_is_taken_for_one_that_ends_its_engines() throws IOException {
        int condemned = 0;
        int requests = 0;
        for (long seed = 1; seed <= 40; seed++) {
            ReplayResult some = replay("crash-15", PlacementRule.PRESENT, seed);
            condemned += some.falselyCondemned();
            requests += some.requests();
        }
        assertThat(condemned * 10_000).isLessThan(requests);
    }

    @Test
    void few_sound_requests_are_taken_for_one_that_ends_its_engines_while_most_engines_crash() throws IOException {
        for (long seed = 1; seed <= 4; seed++) {
            ReplayResult most = replay("crash-60", PlacementRule.PRESENT, seed);
            assertThat((double) most.falselyCondemned() / most.requests()).isLessThan(0.006);
        }
    }

    /** Guards against different requests that share a prompt part which crashes every engine on which they run. */
    @Test
    void requests_with_a_part_that_ends_its_engines_are_stopped_soon_after_the_fifth() throws IOException {
        List<String> names =
                List.of("deadly-part", "deadly-first-part", "deadly-part-crash-15", "deadly-part-crash-60");
        for (String name : names) {
            for (long seed = 1; seed <= 4; seed++) {
                ReplayResult result = replay(name, PlacementRule.PRESENT, seed);
                assertThat(result.lateCrashingRequests())
                        .as("%s, seed %d", name, seed)
                        .isLessThanOrEqualTo(3);
                assertThat((double) result.falselyCondemned() / result.requests())
                        .as("%s, seed %d", name, seed)
                        .isLessThan(0.006);
            }
        }
    }

    /** Guards against shared parts that are taken for the cause of crashes with another cause. */
    @Test
    void shared_parts_are_not_taken_for_the_cause_of_other_crashes() throws IOException {
        for (long seed = 1; seed <= 4; seed++) {
            ReplayResult crashes = replay("parts-crash-60", PlacementRule.PRESENT, seed);
            assertThat((double) crashes.falselyCondemned() / crashes.requests()).isLessThan(0.006);
            ReplayResult repeated = replay("parts-deadly", PlacementRule.PRESENT, seed);
            assertThat((double) repeated.falselyCondemned() / repeated.requests())
                    .isLessThan(0.006);
            assertThat(repeated.engineCrashes()).isLessThanOrEqualTo(6);
        }
    }

    /** Guards against an admission limit that rejects the same requests first whenever capacity is short. */
    @Test
    void largest_requests_of_a_kind_are_served_at_least_half_as_often_as_the_kind() throws IOException {
        for (String name : List.of("sizes-180", "steady-130", "steady-200")) {
            for (long seed = 1; seed <= 4; seed++) {
                assertThat(replay(name, PlacementRule.PRESENT, seed).servedBySize())
                        .as("%s, seed %d", name, seed)
                        .allSatisfy(kind -> {
                            assertThat(kind.largestTenth()).isGreaterThanOrEqualTo(kind.all() / 2);
                            assertThat(kind.nextFifth()).isGreaterThanOrEqualTo(kind.all() / 2);
                        });
            }
        }
    }

    /** Guards against a shortage that costs more urgent requests a larger share of their credit than less urgent ones. */
    @Test
    void more_urgent_requests_earn_no_smaller_share_of_their_credit_under_a_shortage() throws IOException {
        for (String name : List.of("urgency-burst", "account-surge", "burst-and-surge", "burst-surge-lost")) {
            for (long seed = 1; seed <= 3; seed++) {
                ReplayResult result = replay(name, PlacementRule.PRESENT, seed);
                double urgent = result.kind("quote-draft").creditShare();
                double next = result.kind("policy-summary").creditShare();
                double last = result.kind("renewal-notice").creditShare();
                assertThat(urgent)
                        .as("%s, seed %d", name, seed)
                        .isGreaterThan(0.87)
                        .isGreaterThanOrEqualTo(next);
                assertThat(next).as("%s, seed %d", name, seed).isGreaterThanOrEqualTo(last);
            }
        }
    }

    /** Guards against an order of urgency that is paid for with idle engines or with the credit of all requests. */
    @Test
    void the_order_of_urgency_earns_more_credit_in_all() throws IOException {
        assertThat(meanWeightedCredit("urgency-burst")).isGreaterThan(0.91);
        assertThat(meanWeightedCredit("account-surge")).isGreaterThan(0.80);
        assertThat(meanWeightedCredit("burst-and-surge")).isGreaterThan(0.72);
        assertThat(meanWeightedCredit("burst-surge-lost")).isGreaterThan(0.63);
    }

    /** Guards against a surge of one account that costs the others as much as itself, and against shutting it out. */
    @Test
    void a_surge_of_one_account_affects_that_account_first() throws IOException {
        for (String name : List.of("account-surge", "burst-and-surge", "burst-surge-lost")) {
            ReplayResult result = replay(name, PlacementRule.PRESENT);
            double surging = result.account("account-2").creditShare();
            double others = result.byAccount().stream()
                    .filter(account -> !account.name().equals("account-2"))
                    .mapToDouble(GroupOutcome::creditShare)
                    .average()
                    .orElseThrow();
            assertThat(others).as(name).isGreaterThan(surging + 0.2);
            int requests = 0;
            int unserved = 0;
            for (GroupOutcome account : result.byAccount()) {
                requests += account.requests();
                unserved += account.unserved();
            }
            double servedOfAll = 1 - (double) unserved / requests;
            assertThat(result.byAccount())
                    .as(name)
                    .allSatisfy(account -> assertThat(account.servedShare()).isGreaterThan(servedOfAll / 4));
        }
    }

    private static double meanWeightedCredit(String name) throws IOException {
        double credit = 0;
        for (long seed = 1; seed <= 3; seed++) {
            credit += replay(name, PlacementRule.PRESENT, seed).weightedCredit() / 3;
        }
        return credit;
    }

    private static ReplayResult replay(String name, PlacementRule rule) throws IOException {
        return replay(name, rule, SEED);
    }

    private static ReplayResult replay(String name, PlacementRule rule, long seed) throws IOException {
        return LoadReplay.run(pattern(name), rule.settings(), seed);
    }

    private static LoadPattern pattern(String name) throws IOException {
        return LoadPatternReader.read(FOLDER.resolve(name + ".yaml")).pattern();
    }
}
