package org.bankturn.weights;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class PieceRoutingTest {
    private static final int PIECES = 96;
    private static final int VERSION = 2;
    private static final int FETCHERS = 100;

    @Test
    void each_piece_leaves_the_origin_once_and_enters_each_hall_once() {
        List<WeightsPeer> boxes = boxes(4, 1);
        for (int piece = 0; piece < PIECES; piece++) {
            int fromOrigin = 0;
            int betweenHalls = 0;
            for (WeightsPeer box : boxes) {
                PieceSource source =
                        PieceRouting.of(box, boxes, VERSION, FETCHERS).sourceOf(piece, Set.of());
                if (source instanceof PieceSource.Neighbour neighbour) {
                    betweenHalls += hallOf(boxes, neighbour.box()).equals(box.dataHall()) ? 0 : 1;
                } else {
                    fromOrigin++;
                }
            }
            assertThat(fromOrigin).isEqualTo(1);
            assertThat(betweenHalls).isEqualTo(2);
        }
    }

    @Test
    void uploads_are_balanced_between_boxes() {
        List<WeightsPeer> boxes = boxes(4, 1);
        Map<String, Integer> sends = new HashMap<>();
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                PieceSource source =
                        PieceRouting.of(box, boxes, VERSION, FETCHERS).sourceOf(piece, Set.of());
                if (source instanceof PieceSource.Neighbour neighbour) {
                    sends.merge(neighbour.box(), 1, Integer::sum);
                }
            }
        }
        assertThat(sends).hasSize(boxes.size());
        assertThat(sends.values()).allMatch(count -> count == PIECES * (boxes.size() - 1) / boxes.size());
    }

    @Test
    void source_chains_end_at_origin_without_cycles() {
        List<WeightsPeer> boxes = boxes(4, 1);
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                assertThat(reachesOrigin(box, boxes, piece)).isTrue();
            }
        }
    }

    @Test
    void empty_box_prefers_holder_of_own_hall() {
        List<WeightsPeer> boxes = new ArrayList<>(boxes(3, VERSION));
        WeightsPeer empty = new WeightsPeer("north-new", "north", 0);
        boxes.add(empty);
        for (int piece = 0; piece < PIECES; piece++) {
            PieceSource source =
                    PieceRouting.of(empty, boxes, VERSION, FETCHERS).sourceOf(piece, Set.of());
            assertThat(source)
                    .isInstanceOfSatisfying(
                            PieceSource.Neighbour.class,
                            neighbour ->
                                    assertThat(hallOf(boxes, neighbour.box())).isEqualTo("north"));
        }
    }

    /** Guards against circular waits, which block both boxes until they give up. */
    @Test
    void no_circular_waits_between_boxes() {
        List<WeightsPeer> boxes = boxes(4, 1);
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                for (PieceSource source :
                        PieceRouting.of(box, boxes, VERSION, FETCHERS).sourcesOf(piece)) {
                    if (source instanceof PieceSource.Neighbour neighbour) {
                        assertThat(mayWaitFor(neighbour.box(), box.box(), boxes, piece))
                                .isFalse();
                    }
                }
            }
        }
    }

    private static boolean mayWaitFor(String waiting, String other, List<WeightsPeer> boxes, int piece) {
        WeightsPeer box = boxes.stream()
                .filter(each -> each.box().equals(waiting))
                .findFirst()
                .orElseThrow();
        return PieceRouting.of(box, boxes, VERSION, FETCHERS).sourcesOf(piece).stream()
                .anyMatch(source -> source instanceof PieceSource.Neighbour neighbour
                        && (neighbour.box().equals(other) || mayWaitFor(neighbour.box(), other, boxes, piece)));
    }

    /** Guards against all boxes falling back to the origin when published holders have restarted empty. */
    @Test
    void empty_published_holders_do_not_add_origin_fetchers() {
        List<WeightsPeer> stale = boxes(4, VERSION);
        List<WeightsPeer> fresh = boxes(4, 0);
        for (int piece = 0; piece < PIECES; piece++) {
            int fromOrigin = 0;
            for (WeightsPeer box : fresh) {
                Set<PieceSource> failed = new HashSet<>();
                for (int attempt = 0; attempt < 2; attempt++) {
                    failed.add(PieceRouting.of(box, stale, VERSION, FETCHERS).sourceOf(piece, failed));
                }
                fromOrigin += PieceRouting.of(box, fresh, VERSION, FETCHERS).sourceOf(piece, failed)
                                instanceof PieceSource.Origin
                        ? 1
                        : 0;
            }
            assertThat(fromOrigin).isEqualTo(1);
        }
    }

    @Test
    void origin_fetchers_are_limited_by_origin_connections() {
        List<WeightsPeer> boxes = boxes(15, 1);
        Set<String> fetchers = new HashSet<>();
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                if (PieceRouting.of(box, boxes, VERSION, 19).sourceOf(piece, Set.of()) instanceof PieceSource.Origin) {
                    fetchers.add(box.box());
                }
            }
        }
        assertThat(fetchers).hasSize(18);
    }

    @Test
    void only_the_deputy_replaces_an_unresponsive_origin_fetcher() {
        List<WeightsPeer> boxes = boxes(4, 1);
        for (int piece = 0; piece < PIECES; piece++) {
            String silent = originFetcher(boxes, piece);
            int fromOrigin = 0;
            for (WeightsPeer box : boxes) {
                PieceSource source = PieceRouting.of(box, boxes, VERSION, FETCHERS)
                        .sourceOf(piece, Set.of(new PieceSource.Neighbour(silent, false)));
                boolean fetches = !box.box().equals(silent) && source instanceof PieceSource.Origin;
                fromOrigin += fetches ? 1 : 0;
            }
            assertThat(fromOrigin).isEqualTo(1);
        }
    }

    @Test
    void duplicate_box_never_polls_itself() {
        List<WeightsPeer> boxes = new ArrayList<>(boxes(3, 0));
        boxes.addAll(boxes(3, VERSION));
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                assertThat(PieceRouting.of(box, boxes, VERSION, FETCHERS).sourcesOf(piece))
                        .noneMatch(source -> source instanceof PieceSource.Neighbour neighbour
                                && neighbour.box().equals(box.box()));
            }
        }
    }

    @Test
    void relays_of_own_hall_are_preferred() {
        List<WeightsPeer> boxes = boxes(4, VERSION);
        List<WeightsPeer> relays = relays(2);
        Set<String> first = new HashSet<>();
        for (int piece = 0; piece < PIECES; piece++) {
            List<PieceSource> sources = PieceRouting.of(boxes.get(0), boxes, VERSION, FETCHERS)
                    .withRelays(relays)
                    .sourcesOf(piece);
            first.add(((PieceSource.Neighbour) sources.get(0)).box());
            assertThat(sources.get(1)).isInstanceOf(PieceSource.Neighbour.class);
            assertThat(((PieceSource.Neighbour) sources.get(1)).box()).startsWith("relay-north");
        }
        assertThat(first).containsExactlyInAnyOrder("relay-north-0", "relay-north-1");
    }

    @Test
    void each_piece_has_one_relay_per_hall_and_leaves_origin_once() {
        List<WeightsPeer> relays = relays(3);
        for (int piece = 0; piece < PIECES; piece++) {
            int fromOrigin = 0;
            int fetchers = 0;
            for (WeightsPeer relay : relays) {
                PieceRouting plan = PieceRouting.of(relay, relays, VERSION, FETCHERS);
                boolean fetches = plan.isHallFetcher(piece);
                fetchers += fetches ? 1 : 0;
                fromOrigin += fetches && plan.sourceOf(piece, Set.of()) instanceof PieceSource.Origin ? 1 : 0;
            }
            assertThat(fetchers).isEqualTo(3);
            assertThat(fromOrigin).isEqualTo(1);
        }
    }

    @Test
    void boxes_and_relays_agree_on_hall_fetcher() {
        List<WeightsPeer> boxes = boxes(4, 1);
        List<WeightsPeer> relays = relays(3);
        for (int piece = 0; piece < PIECES; piece++) {
            for (WeightsPeer box : boxes) {
                PieceSource.Neighbour asked = (PieceSource.Neighbour) PieceRouting.of(box, boxes, VERSION, FETCHERS)
                        .withRelays(relays)
                        .sourceOf(piece, Set.of());
                WeightsPeer relay = relays.stream()
                        .filter(each -> each.box().equals(asked.box()))
                        .findFirst()
                        .orElseThrow();
                assertThat(PieceRouting.of(relay, relays, VERSION, FETCHERS).isHallFetcher(piece))
                        .isTrue();
            }
        }
    }

    @Test
    void relay_prefers_holder_of_own_hall() {
        List<WeightsPeer> relays = relays(2);
        List<PieceSource> sources = PieceRouting.of(relays.get(0), relays, VERSION, FETCHERS)
                .withPossibleHolders(boxes(4, VERSION))
                .sourcesOf(7);
        assertThat(sources.get(0)).isInstanceOfSatisfying(PieceSource.Neighbour.class, neighbour -> {
            assertThat(neighbour.box()).startsWith("north-");
            assertThat(neighbour.holdsVersion()).isTrue();
        });
    }

    private static List<WeightsPeer> relays(int each) {
        return boxes(each, -1).stream()
                .map(box -> new WeightsPeer("relay-" + box.box(), box.dataHall(), box.heldVersion()))
                .toList();
    }

    private static String originFetcher(List<WeightsPeer> boxes, int piece) {
        return boxes.stream()
                .filter(box -> PieceRouting.of(box, boxes, VERSION, FETCHERS).sourceOf(piece, Set.of())
                        instanceof PieceSource.Origin)
                .findFirst()
                .orElseThrow()
                .box();
    }

    /** Holders may lack the manifest and must not be mistaken for empty boxes because of that. */
    @Test
    void holders_are_not_asked_for_the_manifest() {
        List<WeightsPeer> boxes = new ArrayList<>(boxes(3, VERSION));
        boxes.add(new WeightsPeer("north-new", "north", 0));
        for (WeightsPeer box : boxes) {
            List<PieceSource> sources =
                    PieceRouting.of(box, boxes, VERSION, FETCHERS).sourcesOf(PieceRouting.MANIFEST);
            assertThat(sources)
                    .noneMatch(source -> source instanceof PieceSource.Neighbour neighbour && neighbour.holdsVersion());
        }
    }

    @Test
    void origin_is_last_source() {
        List<WeightsPeer> boxes = boxes(3, 1);
        List<PieceSource> sources =
                PieceRouting.of(boxes.get(0), boxes, VERSION, FETCHERS).sourcesOf(5);
        assertThat(sources.get(sources.size() - 1)).isInstanceOf(PieceSource.Origin.class);
        assertThat(new HashSet<>(sources)).hasSameSizeAs(sources);
    }

    private static boolean reachesOrigin(WeightsPeer start, List<WeightsPeer> boxes, int piece) {
        Set<String> seen = new HashSet<>();
        WeightsPeer at = start;
        while (seen.add(at.box())) {
            PieceSource source = PieceRouting.of(at, boxes, VERSION, FETCHERS).sourceOf(piece, Set.of());
            if (!(source instanceof PieceSource.Neighbour neighbour)) {
                return true;
            }
            at = boxes.stream()
                    .filter(box -> box.box().equals(neighbour.box()))
                    .findFirst()
                    .orElseThrow();
        }
        return false;
    }

    private static String hallOf(List<WeightsPeer> boxes, String name) {
        return boxes.stream()
                .filter(box -> box.box().equals(name))
                .findFirst()
                .orElseThrow()
                .dataHall();
    }

    private static List<WeightsPeer> boxes(int each, int heldVersion) {
        List<WeightsPeer> boxes = new ArrayList<>();
        for (String hall : List.of("north", "south", "west")) {
            for (int number = 0; number < each; number++) {
                boxes.add(new WeightsPeer(hall + "-" + number, hall, heldVersion));
            }
        }
        return boxes;
    }
}
