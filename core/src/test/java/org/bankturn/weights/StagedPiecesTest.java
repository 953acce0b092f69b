package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against newer pieces being staged while an engine may still execute an order of a former process. */
class StagedPiecesTest {
    private static final int PIECES = 8;
    private static final String ALTERED = "altered";

    @Test
    void missing_piece_rules_every_order_out() {
        List<String> staged = pieces(3);
        staged.set(5, "");
        assertThat(formerStart(staged, 2, 3, 3)).isEqualTo(FormerStart.none());
    }

    @Test
    void whole_newer_version_may_have_been_ordered() {
        assertThat(formerStart(pieces(3), 2, 4, 3, 4)).isEqualTo(FormerStart.of(3));
    }

    @Test
    void whole_newer_version_is_recognised_although_another_manifest_is_missing() {
        assertThat(formerStart(pieces(3), 1, 4, 3)).isEqualTo(FormerStart.of(3));
    }

    @Test
    void whole_held_version_rules_every_order_out() {
        assertThat(formerStart(pieces(2), 2, 4, 2)).isEqualTo(FormerStart.none());
    }

    @Test
    void pieces_of_no_newer_version_rule_every_order_out_once_all_manifests_are_known() {
        assertThat(formerStart(pieces(2), 2, 4, 3)).isEqualTo(FormerStart.unknown());
        assertThat(formerStart(pieces(2), 2, 4, 3, 4)).isEqualTo(FormerStart.none());
    }

    @Test
    void pieces_of_two_versions_rule_every_order_out() {
        List<String> staged = pieces(3);
        staged.set(0, digest(4, 0));
        assertThat(formerStart(staged, 2, 4, 3, 4)).isEqualTo(FormerStart.none());
    }

    @Test
    void newer_version_with_an_altered_piece_may_have_been_ordered() {
        List<String> staged = pieces(3);
        staged.set(7, ALTERED);
        assertThat(formerStart(staged, 2, 4, 3, 4)).isEqualTo(FormerStart.of(3));
    }

    /** Guards against a restarted process that finishes an old version of which the former one had staged a part. */
    @Test
    void part_of_a_newer_version_over_an_older_one_rules_every_order_out() {
        List<String> staged = pieces(3);
        staged.set(6, digest(2, 6));
        staged.set(7, digest(2, 7));
        assertThat(formerStart(staged, 2, 4, 3, 4)).isEqualTo(FormerStart.none());
    }

    @Test
    void version_with_an_altered_piece_is_not_told_from_a_version_without_manifest() {
        List<String> staged = pieces(3);
        staged.set(7, ALTERED);
        assertThat(formerStart(staged, 1, 4, 3, 4)).isEqualTo(FormerStart.unknown());
    }

    @Test
    void piece_that_two_versions_share_belongs_to_both() {
        Map<Integer, List<String>> manifests = Map.of(3, pieces(3), 4, pieces(4));
        manifests.get(4).set(0, digest(3, 0));
        assertThat(StagedPieces.of(pieces(3)).formerStart(manifests, 2, 4)).isEqualTo(FormerStart.of(3));
        assertThat(StagedPieces.of(manifests.get(4)).formerStart(manifests, 2, 4))
                .isEqualTo(FormerStart.of(4));
    }

    private static FormerStart formerStart(List<String> staged, int held, int newest, int... known) {
        Map<Integer, List<String>> manifests =
                IntStream.of(known).boxed().collect(Collectors.toMap(version -> version, StagedPiecesTest::pieces));
        return StagedPieces.of(staged).formerStart(manifests, held, newest);
    }

    private static List<String> pieces(int version) {
        return new ArrayList<>(IntStream.range(0, PIECES)
                .mapToObj(piece -> digest(version, piece))
                .toList());
    }

    private static String digest(int version, int piece) {
        return "version " + version + " piece " + piece;
    }
}
