package org.bankturn.distribution;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Set;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.configuration.Digest;
import org.bankturn.distribution.ChunkPlanner.Transfer;
import org.bankturn.distribution.ChunkPlanner.TransferOutcome;
import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class DistributionTest {
    @TempDir
    Path folder;

    private static final byte[] WEIGHTS = {1, 2, 3, 4, 5, 6, 7};

    private static byte[] chunk(int number) {
        int size = Math.min(3, WEIGHTS.length - 3 * number);
        byte[] bytes = new byte[size];
        System.arraycopy(WEIGHTS, 3 * number, bytes, 0, size);
        return bytes;
    }

    private static Manifest manifest() {
        return Manifest.of(7, 3, List.of(Digest.of(chunk(0)), Digest.of(chunk(1)), Digest.of(chunk(2))));
    }

    private static BitSet bits(int count) {
        BitSet bits = new BitSet();
        bits.set(0, count);
        return bits;
    }

    @Test
    void manifest_with_wrong_digest_is_rejected() {
        Manifest manifest = manifest();
        assertThat(Manifest.parse(manifest.text(), manifest.digest())).isPresent();
        assertThat(Manifest.parse(manifest.text().replace("7", "8"), manifest.digest()))
                .isEmpty();
    }

    @Test
    void corrupt_chunk_is_neither_stored_nor_readable() throws IOException {
        try (ChunkFile file = ChunkFile.open(folder, manifest())) {
            assertThat(file.store(0, new byte[] {1, 2, 9})).isFalse();
            assertThat(file.read(0)).isNull();
            assertThat(file.store(0, chunk(0))).isTrue();
            assertThat(file.read(0)).containsExactly(1, 2, 3);
            assertThat(file.isComplete()).isFalse();
            assertThat(file.verifyAll()).isFalse();
        }
    }

    @Test
    void stored_chunks_are_verified_on_open() throws IOException {
        Path path;
        try (ChunkFile file = ChunkFile.open(folder, manifest())) {
            for (int number = 0; number < 3; number++) {
                file.store(number, chunk(number));
            }
            assertThat(file.verifyAll()).isTrue();
            path = file.path();
        }
        byte[] damaged = Files.readAllBytes(path);
        damaged[4] = 99;
        Files.write(path, damaged);
        try (ChunkFile reopened = ChunkFile.open(folder, manifest())) {
            assertThat(reopened.storedChunks()).isEqualTo(BitSet.valueOf(new long[] {0b101}));
        }
    }

    @Test
    void corruption_of_stored_chunks_is_detected_by_verification() throws IOException {
        try (ChunkFile file = ChunkFile.open(folder, manifest())) {
            for (int number = 0; number < 3; number++) {
                file.store(number, chunk(number));
            }
            byte[] damaged = Files.readAllBytes(file.path());
            damaged[0] = 99;
            Files.write(file.path(), damaged);
            assertThat(file.verifyAll()).isFalse();
        }
    }

    private static OriginBudget.Request request(
            BitSet unreachable, int wanted, DistributionPolicy policy, long nowMillis) {
        return new OriginBudget.Request("requester", unreachable, wanted, policy, Set.of("silent"), nowMillis);
    }

    private static List<Integer> grant(OriginBudget budget, BitSet unreachable, int wanted, long nowMillis) {
        return budget.grant(request(unreachable, wanted, DistributionPolicy.ORIGIN_BYTES, nowMillis));
    }

    @Test
    void origin_bytes_policy_grants_each_chunk_once() {
        OriginBudget budget = OriginBudget.ofChunks(8);
        assertThat(grant(budget, bits(8), 5, 0)).hasSize(5);
        assertThat(grant(budget, bits(8), 5, 1)).hasSize(3);
        budget.completeGrants(bits(8), new BitSet(), 2);
        long later = 10 * OriginBudget.MIN_GRANT_TIMEOUT_MILLIS;
        assertThat(grant(budget, bits(8), 5, later)).isEmpty();
        assertThat(budget.hasGrantFor(request(bits(8), 1, DistributionPolicy.ORIGIN_BYTES, later)))
                .isFalse();
    }

    @Test
    void failed_or_lost_chunk_is_granted_again() {
        OriginBudget budget = OriginBudget.ofChunks(8);
        budget.grant(new OriginBudget.Request("silent", bits(2), 2, DistributionPolicy.ORIGIN_BYTES, Set.of(), 0));
        BitSet kept = new BitSet();
        kept.set(0);
        BitSet failed = new BitSet();
        failed.set(1);
        budget.completeGrants(kept, failed, 10);
        assertThat(grant(budget, bits(2), 5, 20)).containsExactly(1);
        assertThat(grant(budget, bits(1), 5, 20 + OriginBudget.MIN_GRANT_TIMEOUT_MILLIS))
                .containsExactly(0);
        assertThat(budget.grantedCopies()).isEqualTo(4.0 / 8);
    }

    @Test
    void grants_never_exceed_maximum_origin_copies() {
        for (DistributionPolicy policy : DistributionPolicy.values()) {
            OriginBudget budget = OriginBudget.ofChunks(8);
            for (int round = 0; round < 100; round++) {
                budget.grant(request(bits(8), 8, policy, round * OriginBudget.MIN_GRANT_TIMEOUT_MILLIS));
                budget.completeGrants(new BitSet(), bits(8), round * OriginBudget.MIN_GRANT_TIMEOUT_MILLIS);
                budget = OriginBudget.restore(budget.snapshot());
            }
            assertThat(budget.grantedCopies()).isEqualTo(DistributionPolicy.MAXIMUM_ORIGIN_COPIES);
        }
    }

    @Test
    void grants_in_flight_are_limited_and_timeout_adapts_to_slow_origin() {
        OriginBudget budget = OriginBudget.ofChunks(100);
        List<Integer> first = grant(budget, bits(100), 100, 0);
        assertThat(first).hasSize(OriginBudget.MAX_GRANTS_IN_FLIGHT);
        assertThat(grant(budget, bits(100), 1, 1)).isEmpty();
        budget.completeGrants(bits(100), new BitSet(), 30_000);
        grant(budget, bits(100), 100, 30_000);
        assertThat(grant(budget, bits(100), 1, 30_000 + 2 * OriginBudget.MIN_GRANT_TIMEOUT_MILLIS))
                .isEmpty();
    }

    @Test
    void rarest_chunk_is_first_and_transfers_per_neighbour_are_limited() {
        ChunkPlanner planner = planner(4);
        planner.updateNeighbour("one", bits(4));
        planner.updateNeighbour("two", bits(3));
        Transfer first = planner.nextTransfer(0).orElseThrow();
        assertThat(first).isEqualTo(new Transfer(3, "one"));
        List<Transfer> rest = new ArrayList<>();
        planner.nextTransfer(0).ifPresent(rest::add);
        planner.nextTransfer(0).ifPresent(rest::add);
        planner.nextTransfer(0).ifPresent(rest::add);
        assertThat(rest).hasSize(3);
        assertThat(rest.stream().filter(transfer -> transfer.neighbour().equals("one")))
                .hasSize(1);
        assertThat(planner.nextTransfer(0)).isEmpty();
    }

    @Test
    void neighbour_with_corrupt_chunks_is_not_used_again() {
        ChunkPlanner planner = planner(8);
        planner.updateNeighbour("bad", bits(8));
        for (int time = 0; time < ChunkPlanner.CORRUPT_LIMIT; time++) {
            planner.transferEnded(planner.nextTransfer(0).orElseThrow(), TransferOutcome.CORRUPT, 0);
        }
        planner.updateNeighbour("bad", bits(8));
        assertThat(planner.nextTransfer(0)).isEmpty();
        assertThat(planner.unreachable()).isEqualTo(bits(8));
    }

    @Test
    void busy_neighbour_is_not_used_for_a_while() {
        ChunkPlanner planner = planner(4);
        planner.updateNeighbour("busy", bits(4));
        planner.transferEnded(planner.nextTransfer(0).orElseThrow(), TransferOutcome.BUSY, 0);
        assertThat(planner.nextTransfer(0)).isEmpty();
        planner.updateNeighbour("free", bits(1));
        assertThat(planner.nextTransfer(1)).contains(new Transfer(0, "free"));
        assertThat(planner.nextTransfer(ChunkPlanner.BUSY_MILLIS)).isPresent();
    }

    private static ChunkPlanner planner(int chunks) {
        return ChunkPlanner.of(chunks, new BitSet(), 2, RandomSource.XO_RO_SHI_RO_128_PP.create(1));
    }

    @Test
    void rate_limit_is_never_exceeded() {
        ManualClock clock = ManualClock.startingAt(0);
        LinkRateLimiter link = LinkRateLimiter.of(1_000, 0, clock);
        assertThat(link.delayMillis(500)).isEqualTo(500);
        assertThat(link.delayMillis(500)).isEqualTo(1_000);
        clock.advance(2_000);
        assertThat(link.delayMillis(500)).isEqualTo(500);
    }
}
