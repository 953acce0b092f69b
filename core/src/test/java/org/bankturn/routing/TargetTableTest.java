package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.registry.TargetSighting;
import org.bankturn.service.EngineModel;
import org.bankturn.service.Service;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class TargetTableTest {
    private static final EngineModel ENGINE = new EngineModel(8, 317_000, 13.9, 0.03, 0.05, 13.8, 2_048, 5, 70);
    private static final Service SERVICE = new Service("chat", "/", 100, ENGINE, null, null, null);
    private static final EngineLoad FULL = new EngineLoad(8, 4, 0, 0, 1, false);
    private static final TargetNotice LIMITED = new TargetNotice(OptionalDouble.of(1), 0, false);

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final TargetTable table =
            TargetTable.of(clock, "here", PlacementSettings.DEFAULT, RandomSource.XO_RO_SHI_RO_128_PP.create(7));
    private final List<TargetSighting> sightings = new ArrayList<>();

    @Test
    void request_stays_local_while_local_engines_have_capacity() {
        add("near", "here");
        add("far", "there");
        report("near", new EngineLoad(6, 0, 0, 0, 1, false));
        report("far", EngineLoad.NONE);
        assertThat(chosenTarget()).isEqualTo("near");
    }

    @Test
    void request_goes_remote_when_local_engines_are_full() {
        add("near", "here");
        add("far", "there");
        report("near", FULL);
        report("far", EngineLoad.NONE);
        assertThat(chosenTarget()).isEqualTo("far");
    }

    /** Guards against requests to an engine whose streams show that it is slow while its report does not. */
    @Test
    void an_engine_with_slow_events_is_avoided_and_used_again_after_a_fast_one() {
        add("slow", "here");
        add("busy", "here");
        report("slow", new EngineLoad(3, 0, 0, 0, 2.5, false));
        report("slow", new EngineLoad(3, 0, 0, 0, 1, false));
        report("busy", new EngineLoad(6, 0, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("slow");
        TargetState slow = state("slow");
        assertThat(slow.eventReceived(ENGINE, 250, clock.millis())).isTrue();
        assertThat(chosenTarget()).isEqualTo("busy");
        assertThat(table.slowEngines()).isEqualTo(1);
        slow.eventReceived(ENGINE, 70, clock.millis());
        assertThat(chosenTarget()).isEqualTo("slow");
    }

    @Test
    void only_engines_without_fresh_load_are_polled() {
        add("old", "here");
        add("new", "here");
        report("old", EngineLoad.NONE);
        clock.advance(PlacementSettings.DEFAULT.maxFreshAgeMillis() + 1);
        report("new", EngineLoad.NONE);
        assertThat(table.targetsToPoll(requirements(), false)).containsExactly("old");
        report("old", EngineLoad.NONE);
        assertThat(table.targetsToPoll(requirements(), false)).isEmpty();
    }

    @Test
    void remote_engines_are_polled_only_on_request() {
        add("near", "here");
        add("far", "there");
        assertThat(table.targetsToPoll(requirements(), false)).containsExactly("near");
        assertThat(table.targetsToPoll(requirements(), true)).containsExactly("far");
    }

    @Test
    void fresh_load_is_preferred_to_better_stale_load() {
        add("old", "here");
        add("new", "here");
        report("old", EngineLoad.NONE);
        clock.advance(PlacementSettings.DEFAULT.maxFreshAgeMillis() + 1);
        report("new", new EngineLoad(4, 0, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("new");
    }

    @Test
    void failed_target_is_chosen_only_as_a_last_resort() {
        add("failed", "here");
        Candidate only = table.choose(requirements()).orElseThrow();
        only.target().requestFailed(clock.millis());
        assertThat(chosenTarget()).isEqualTo("failed");
        add("other", "there");
        assertThat(chosenTarget()).isEqualTo("other");
    }

    @Test
    void unanswered_poll_increases_the_prediction_until_answered() {
        add("silent", "here");
        long asked = clock.millis();
        clock.advance(25);
        table.pollOverdue("silent", asked);
        assertThat(predictedMillis()).isGreaterThan(400);
        report("silent", EngineLoad.NONE);
        assertThat(predictedMillis()).isLessThan(200);
    }

    /** Guards against rejecting requests when polls to all engines become silent at the same time. */
    @Test
    void polls_unanswered_by_all_engines_do_not_increase_predictions() {
        add("one", "here");
        add("other", "here");
        report("one", EngineLoad.NONE);
        report("other", EngineLoad.NONE);
        clock.advance(300);
        long asked = clock.millis();
        clock.advance(25);
        table.pollOverdue("one", asked);
        table.pollOverdue("other", asked);
        assertThat(predictedMillis()).isLessThan(200);
    }

    @Test
    void unanswered_polls_count_if_another_engine_answers() {
        add("one", "here");
        add("other", "here");
        add("well", "here");
        long asked = clock.millis();
        clock.advance(25);
        table.pollOverdue("one", asked);
        table.pollOverdue("other", asked);
        report("well", EngineLoad.NONE);
        assertThat(chosenTarget()).isEqualTo("well");
        Requirements elsewhere = new Requirements(SERVICE, -1, VersionDeadlines.none(), 1_000, 600, Set.of("well"));
        assertThat(table.choose(elsewhere).orElseThrow().predictedMillis()).isGreaterThan(400);
    }

    @Test
    void requests_ended_since_the_load_report_do_not_count() {
        add("near", "here");
        TargetState state = table.choose(requirements()).orElseThrow().target();
        long sent = clock.millis();
        state.requestStarted(100, sent);
        clock.advance(10);
        report("near", new EngineLoad(1, 0, 0, 0, 1, false));
        double busy = predictedMillis();
        clock.advance(10);
        state.promptRead(100);
        state.requestEnded(sent, clock.millis());
        assertThat(predictedMillis()).isLessThan(busy);
    }

    /** Guards against starting on outdated weights after the path became slow. */
    @Test
    void target_with_old_weights_and_stale_load_is_excluded_before_a_deadline() {
        add("near", "here");
        report("near", EngineLoad.NONE);
        VersionDeadlines deadlines = VersionDeadlines.none();
        deadlines.versionAnnounced(2, clock.millis() + 1_500);
        assertThat(table.choose(requirements(deadlines))).isPresent();
        clock.advance(600);
        assertThat(table.choose(requirements(deadlines))).isEmpty();
        assertThat(table.targetsToPoll(requirements(deadlines), false)).containsExactly("near");
        report("near", EngineLoad.NONE);
        assertThat(table.choose(requirements(deadlines))).isPresent();
    }

    @Test
    void engine_about_to_interrupt_is_chosen_only_if_others_are_slower() {
        add("turning", "here");
        add("staying", "here");
        report("turning", EngineLoad.NONE);
        report("staying", new EngineLoad(4, 0, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("turning");
        table.interruptionAnnounced("turning", 400);
        assertThat(chosenTarget()).isEqualTo("staying");
        report("staying", new EngineLoad(8, 8, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("turning");
    }

    @Test
    void past_interruption_has_no_cost() {
        add("turning", "here");
        add("staying", "here");
        table.interruptionAnnounced("turning", 400);
        clock.advance(401);
        report("turning", EngineLoad.NONE);
        report("staying", new EngineLoad(4, 0, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("turning");
    }

    @Test
    void distant_interruption_has_little_cost() {
        add("turning", "here");
        add("staying", "here");
        report("turning", EngineLoad.NONE);
        report("staying", new EngineLoad(4, 0, 0, 0, 1, false));
        table.interruptionAnnounced("turning", 6_000);
        assertThat(chosenTarget()).isEqualTo("turning");
    }

    private void add(String id, String hall) {
        sightings.add(new TargetSighting(id, "chat", id, hall, 8, false, 1, 1));
        table.update(sightings);
        Set<String> ids = new HashSet<>();
        sightings.forEach(each -> ids.add(each.id()));
        table.setWatched(ids);
    }

    private void report(String id, EngineLoad load) {
        table.loadReported(id, load, 0, 2);
    }

    private TargetState state(String id) {
        return table.choose(requirements())
                .map(Candidate::target)
                .filter(each -> each.sighting().id().equals(id))
                .orElseThrow();
    }

    @Test
    void held_back_target_is_never_chosen() {
        add("only", "here");
        TargetState only = state("only");
        only.applyNotice(new TargetNotice(OptionalDouble.empty(), 2_000, false), false, clock.millis(), clock.millis());
        assertThat(table.choose(requirements())).isEmpty();
        assertThat(table.targetsToPoll(requirements(), false)).isEmpty();
        assertThat(table.isHeldBack("only")).isTrue();
        assertThat(table.heldBack(requirements())).hasToString("1 backing_off");
        assertThat(table.heldBack(requirements()).earliestReleaseMillis()).isEqualTo(2_000);
        clock.advance(2_000);
        assertThat(chosenTarget()).isEqualTo("only");
        assertThat(table.heldBack(requirements()).hasKnownReleaseTime()).isFalse();
    }

    @Test
    void leaving_target_is_not_released() {
        add("only", "here");
        state("only")
                .applyNotice(new TargetNotice(OptionalDouble.empty(), 0, true), true, clock.millis(), clock.millis());
        assertThat(table.choose(requirements())).isEmpty();
        assertThat(table.heldBack(requirements())).hasToString("1 leaving");
        assertThat(table.heldBack(requirements()).hasKnownReleaseTime()).isFalse();
    }

    @Test
    void limited_target_gets_one_permit_request_and_is_preferred_with_a_permit() {
        add("limited", "here");
        TargetState limited = state("limited");
        limited.applyNotice(LIMITED, true, clock.millis(), clock.millis());
        add("other", "here");
        report("other", EngineLoad.NONE);
        report("limited", new EngineLoad(4, 0, 0, 0, 1, false));
        assertThat(chosenTarget()).isEqualTo("other");
        assertThat(table.drainPermitRequests()).containsExactly(limited);
        limited.permitRequested();
        assertThat(chosenTarget()).isEqualTo("other");
        assertThat(table.drainPermitRequests()).isEmpty();
        limited.permitAnswered(
                new PermitCoordinator.Answer(limited.rateLimit(), true, 0), clock.millis(), clock.millis());
        assertThat(chosenTarget()).isEqualTo("limited");
        assertThat(limited.acquire(clock.millis())).isEmpty();
        assertThat(chosenTarget()).isEqualTo("other");
    }

    @Test
    void remote_permits_are_requested_only_for_requests_that_would_go_remote() {
        add("far", "there");
        TargetState far = state("far");
        far.applyNotice(LIMITED, true, clock.millis(), clock.millis());
        add("near", "here");
        report("near", EngineLoad.NONE);
        assertThat(chosenTarget()).isEqualTo("near");
        assertThat(table.drainPermitRequests()).isEmpty();
        report("near", FULL);
        assertThat(chosenTarget()).isEqualTo("near");
        assertThat(table.drainPermitRequests()).containsExactly(far);
    }

    /** A target that loses contact with the control group is removed and listed again as the same incarnation. */
    @Test
    void relisted_target_keeps_its_constraints() {
        add("cut", "here");
        state("cut").applyNotice(new TargetNotice(OptionalDouble.of(1), 0, true), true, clock.millis(), clock.millis());
        sightings.clear();
        add("other", "here");
        clock.advance(5_000);
        add("cut", "here");
        assertThat(table.isHeldBack("cut")).isTrue();
    }

    @Test
    void restarted_target_has_no_constraints() {
        add("first", "here");
        state("first")
                .applyNotice(
                        new TargetNotice(OptionalDouble.of(1), 2_000, true), false, clock.millis(), clock.millis());
        assertThat(table.choose(requirements())).isEmpty();
        sightings.clear();
        add("second", "here");
        assertThat(chosenTarget()).isEqualTo("second");
    }

    private String chosenTarget() {
        return table.choose(requirements()).orElseThrow().target().sighting().id();
    }

    private double predictedMillis() {
        return table.choose(requirements()).orElseThrow().predictedMillis();
    }

    private static Requirements requirements() {
        return requirements(VersionDeadlines.none());
    }

    private static Requirements requirements(VersionDeadlines deadlines) {
        return new Requirements(SERVICE, -1, deadlines, 1_000, 600, Set.of());
    }
}
