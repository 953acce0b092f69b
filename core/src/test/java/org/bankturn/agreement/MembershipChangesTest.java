package org.bankturn.agreement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class MembershipChangesTest {
    private static final RaftSettings SETTINGS = new RaftSettings(100, 20, 4, 3);
    private static final long NOW = 10_000;
    private static final long STALE = NOW - 1_000;

    /** A committed index that a box without a log does not hold. */
    private static final long MISSING_INDEX = 1;

    private final Member self = member("a");
    private final Member responsive = member("b");
    private final Member silent = member("c");
    private final Member learner = member("d");
    private final ProgressTracker progress = new ProgressTracker();
    private final MembershipChanges changes = new MembershipChanges(SETTINGS, progress, new Outbox());

    /** Removing the unresponsive member first would leave a group of two that tolerates no failure. */
    @Test
    void new_box_is_added_before_unresponsive_member_is_removed() {
        progress.track(responsive, 1, NOW);
        progress.track(silent, 1, STALE);
        addResponsiveLearner(learner);
        assertThat(admission(List.of(self, responsive, silent), 0))
                .contains(List.of(self, responsive, silent, learner));
    }

    /** Guards against a group of four whose majority needs a box that has yet to copy the log. */
    @Test
    void new_box_that_raises_the_majority_is_added_only_once_it_holds_the_committed_entries() {
        List.of(responsive, silent).forEach(peer -> progress.track(peer, 1, NOW));
        addResponsiveLearner(learner);
        assertThat(admission(List.of(self, responsive, silent), MISSING_INDEX)).isEmpty();
        assertThat(admission(List.of(self, responsive, silent, member("e")), MISSING_INDEX))
                .contains(List.of(self, responsive, silent, member("e"), learner));
    }

    /** Guards against a request to join that was sent by a former start of the box. */
    @Test
    void no_member_is_replaced_before_the_joining_box_has_responded() {
        changes.addLearner(new Member("c", 2, "c"), 1, NOW);
        assertThat(admission(List.of(self, responsive, silent), 0)).isEmpty();
    }

    @Test
    void unresponsive_member_is_removed_after_a_new_member_is_added() {
        progress.track(responsive, 1, NOW);
        progress.track(silent, 1, STALE);
        progress.track(learner, 1, NOW);
        assertThat(changes.nextRemoval(
                        List.of(self, responsive, silent, learner), List.of(responsive, silent, learner), NOW))
                .contains(List.of(self, responsive, learner));
    }

    @Test
    void no_member_is_removed_while_two_are_unresponsive() {
        progress.track(responsive, 1, NOW - 150);
        progress.track(silent, 1, STALE);
        progress.track(learner, 1, NOW);
        assertThat(changes.nextRemoval(
                        List.of(self, responsive, silent, learner), List.of(responsive, silent, learner), NOW))
                .isEmpty();
    }

    @Test
    void box_with_new_incarnation_replaces_its_former_member() {
        Member rejoined = new Member("c", 2, "c");
        addResponsiveLearner(rejoined);
        assertThat(admission(List.of(self, responsive, silent), MISSING_INDEX)).contains(List.of(self, responsive));
        assertThat(admission(List.of(self, responsive), MISSING_INDEX)).contains(List.of(self, responsive, rejoined));
    }

    /** Guards against members that were lost at the same time and stay voting members for ever. */
    @Test
    void members_silent_at_the_same_time_are_removed_one_after_the_other() {
        List<Member> members = groupWithTwoSilent();
        List<Member> peers = members.subList(1, members.size());
        List<Member> afterFirst = changes.nextRemoval(members, peers, NOW).orElseThrow();
        assertThat(afterFirst).hasSize(members.size() - 1).doesNotContain(silent);
        List<Member> afterSecond = changes.nextRemoval(afterFirst, afterFirst.subList(1, afterFirst.size()), NOW)
                .orElseThrow();
        assertThat(afterSecond).hasSize(members.size() - 2).doesNotContain(silent, member("h"));
        assertThat(changes.nextRemoval(afterSecond, afterSecond.subList(1, afterSecond.size()), NOW))
                .isEmpty();
    }

    /** Guards against a box that never catches up, or keeps asking to join, and so keeps silent members in the group. */
    @Test
    void silent_member_is_removed_while_another_box_catches_up() {
        List<Member> members = groupWithTwoSilent();
        changes.addLearner(member("z"), 1, NOW);
        assertThat(admission(members, 1)).isEmpty();
        assertThat(changes.nextRemoval(members, members.subList(1, members.size()), NOW))
                .hasValueSatisfying(remaining -> assertThat(remaining).doesNotContain(silent));
    }

    /** Guards against acknowledged entries being on no more disks than may be lost. */
    @Test
    void group_that_tolerates_two_losses_keeps_five_members() {
        RaftSettings settings = new RaftSettings(100, 20, 4, RaftSettings.minMembersFor(2));
        MembershipChanges tolerant = new MembershipChanges(settings, progress, new Outbox());
        List<Member> members = groupWithTwoSilent().subList(0, 5);
        assertThat(members).contains(silent);
        assertThat(tolerant.nextRemoval(members, members.subList(1, members.size()), NOW))
                .isEmpty();
    }

    /** Guards against a box that was removed for its replacement in a group of even size, and must copy the log first. */
    @Test
    void box_whose_former_member_was_just_removed_is_added_to_an_odd_number_of_members_without_the_log() {
        Member rejoined = new Member("c", 2, "c");
        List<Member> before = List.of(self, responsive, silent, member("e"));
        before.forEach(peer -> progress.track(peer, 1, NOW));
        addResponsiveLearner(rejoined);
        List<Member> without = admission(before, MISSING_INDEX).orElseThrow();
        assertThat(without).containsExactly(self, responsive, member("e"));
        assertThat(admissionAfter(before, without)).contains(List.of(self, responsive, member("e"), rejoined));
        assertThat(admissionAfter(without, without)).isEmpty();
    }

    /** Guards against an empty box, removed long ago, that a group needs for its majority while another member is away. */
    @Test
    void box_whose_former_member_was_removed_needs_the_log_if_the_others_that_respond_are_no_majority_with_it() {
        Member rejoined = new Member("c", 2, "c");
        List<Member> before = List.of(self, responsive, silent, member("e"));
        before.forEach(peer -> progress.track(peer, 1, NOW));
        progress.track(member("e"), 1, STALE);
        addResponsiveLearner(rejoined);
        assertThat(admissionAfter(before, without(before, silent))).isEmpty();
    }

    /** Guards against a member that returns with its disk, or a late request of its start, and counts as a replacement. */
    @Test
    void removed_member_that_returns_needs_the_log_to_raise_the_majority() {
        List<Member> before = List.of(self, responsive, silent, member("e"));
        before.forEach(peer -> progress.track(peer, 1, NOW));
        addResponsiveLearner(silent);
        assertThat(admissionAfter(before, without(before, silent))).isEmpty();
    }

    private Optional<List<Member>> admissionAfter(List<Member> before, List<Member> members) {
        return changes.nextAdmission(members, before, without(members, self), MISSING_INDEX, NOW);
    }

    private static List<Member> without(List<Member> members, Member removed) {
        return members.stream().filter(member -> !member.equals(removed)).toList();
    }

    private Optional<List<Member>> admission(List<Member> members, long commitIndex) {
        return changes.nextAdmission(members, members, without(members, self), commitIndex, NOW);
    }

    private void addResponsiveLearner(Member member) {
        changes.addLearner(member, 1, NOW);
        progress.find(member).orElseThrow().recordContact(NOW);
    }

    /** Returns a group of eight: the first one leads, {@link #silent} and "h" are silent, the former for longer. */
    private List<Member> groupWithTwoSilent() {
        List<Member> members = new ArrayList<>(List.of(self, responsive, silent));
        for (String box : List.of("d", "e", "f", "g")) {
            members.add(member(box));
        }
        members.forEach(member -> progress.track(member, 1, NOW));
        progress.track(silent, 1, STALE);
        members.add(member("h"));
        progress.track(member("h"), 1, STALE + 1);
        return members;
    }

    private static Member member(String box) {
        return new Member(box, 1, box);
    }
}
