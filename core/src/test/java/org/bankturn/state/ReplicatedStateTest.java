package org.bankturn.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.ConfigurationUpdate;
import org.bankturn.lease.HeldLease;
import org.bankturn.lease.Lease;
import org.bankturn.lease.LeaseExpiry;
import org.bankturn.ledger.ClaimResult;
import org.bankturn.ledger.RecordedResponse;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.junit.jupiter.api.Test;

class ReplicatedStateTest {
    private static final RecordedResponse BOOKED = new RecordedResponse(200, "text/plain", new byte[] {1});

    private final ReplicatedState state = ReplicatedState.empty();

    private static String file(long number, String region) {
        return "name: halls\nnumber: " + number + "\ndataHalls:\n  - {name: puget, region: " + region + "}\n";
    }

    private CommandResult apply(long index, String text, String by) {
        return state.apply(index, new Command.ApplyFile(text, by));
    }

    private ClaimResult claim(String attempt, String fingerprint, long now) {
        Command.ClaimRequest request =
                new Command.ClaimRequest("account", "key", fingerprint, attempt, now, now + 100, now + 10_000);
        return ((CommandResult.ClaimDecision) state.apply(1, request)).result();
    }

    @Test
    void applying_the_same_file_again_returns_the_same_result() {
        CommandResult first = apply(5, file(1, "north"), "one");
        apply(6, file(2, "south"), "one");
        assertThat(apply(9, file(1, "north"), "another")).isEqualTo(first);
        assertThat(state.configuration().index()).isEqualTo(6);
    }

    @Test
    void conflicting_file_with_same_number_is_refused_with_the_submitter() {
        apply(5, file(1, "north"), "winner");
        CommandResult.FileRefused refused = (CommandResult.FileRefused) apply(6, file(1, "south"), "loser");
        assertThat(refused.code()).isEqualTo(ResultCode.VERSION_HELD);
        assertThat(refused.errors().get(0)).contains("winner");
        assertThat(state.history()).hasSize(1);
    }

    @Test
    void non_consecutive_file_number_is_refused() {
        CommandResult.FileRefused refused = (CommandResult.FileRefused) apply(5, file(3, "north"), "one");
        assertThat(refused.code()).isEqualTo(ResultCode.VERSION_NOT_NEXT);
        assertThat(state.configuration()).isSameAs(Configuration.empty());
    }

    @Test
    void snapshot_round_trip_preserves_the_state() {
        apply(5, file(1, "north"), "one");
        claim("first", "f", 10);
        state.apply(6, new Command.AcquireLease("box", "p1", 1_000, 0));
        ReplicatedState restored = ReplicatedState.restore(state.snapshot());
        assertThat(restored.configuration().digest())
                .isEqualTo(state.configuration().digest());
        assertThat(restored.snapshot()).isEqualTo(state.snapshot());
    }

    @Test
    void configuration_holder_only_advances_and_updates_yield_the_same_digest() {
        apply(5, file(1, "north"), "one");
        Configuration before = state.configuration();
        apply(6, file(2, "south"), "one");
        Configuration after = state.configuration();
        ConfigurationHolder holder = new ConfigurationHolder();
        assertThat(holder.advanceTo(after)).isTrue();
        assertThat(holder.advanceTo(before)).isFalse();
        assertThat(holder.get()).isSameAs(after);
        Configuration stepped =
                ConfigurationUpdate.between(5, after).applyTo(before).orElseThrow();
        assertThat(stepped.digest()).isEqualTo(after.digest());
        ConfigurationUpdate forged = new ConfigurationUpdate(
                0, 7, "0".repeat(64), ConfigurationUpdate.between(0, after).changedFiles(), Map.of());
        assertThat(forged.applyTo(before)).isEmpty();
    }

    @Test
    void retry_returns_running_and_then_the_recorded_response() {
        assertThat(claim("first", "f", 0)).isInstanceOf(ClaimResult.Granted.class);
        assertThat(claim("second", "f", 10)).isInstanceOf(ClaimResult.Running.class);
        state.apply(3, new Command.RecordResponse("account", "key", "first", BOOKED));
        assertThat(((ClaimResult.Answered) claim("third", "f", 20)).answer().body())
                .containsExactly(1);
    }

    @Test
    void overdue_claim_is_not_granted_again() {
        claim("first", "f", 0);
        assertThat(claim("second", "f", 5_000)).isInstanceOf(ClaimResult.Unknown.class);
        state.apply(3, new Command.ReleaseClaim("account", "key", "second"));
        assertThat(claim("third", "f", 6_000)).isInstanceOf(ClaimResult.Unknown.class);
    }

    @Test
    void released_claim_is_granted_again_and_key_reuse_is_refused() {
        claim("first", "f", 0);
        assertThat(claim("second", "g", 1)).isInstanceOf(ClaimResult.KeyReused.class);
        state.apply(3, new Command.ReleaseClaim("account", "key", "first"));
        assertThat(claim("third", "f", 20)).isInstanceOf(ClaimResult.Granted.class);
        assertThat(state.claimCount()).isEqualTo(1);
    }

    @Test
    void claim_expires_after_its_lifetime() {
        claim("first", "f", 0);
        state.apply(3, new Command.RecordResponse("account", "key", "first", BOOKED));
        assertThat(claim("later", "f", 10_002)).isInstanceOf(ClaimResult.Granted.class);
    }

    @Test
    void lease_is_transferred_only_after_release_or_expiry_with_a_higher_fence() {
        Lease first = lease(10, "p1", 0);
        assertThat(lease(11, "p2", 0)).isEqualTo(first);
        assertThat(lease(12, "p2", first.fence()).fence()).isEqualTo(12);
        state.apply(13, new Command.ReleaseLease("box", 10));
        assertThat(lease(14, "p3", 0).holder()).isEqualTo("p2");
        state.apply(15, new Command.ReleaseLease("box", 12));
        assertThat(lease(16, "p3", 0).fence()).isEqualTo(16);
    }

    private Lease lease(long index, String holder, long expiredFence) {
        Command command = new Command.AcquireLease("box", holder, 1_000, expiredFence);
        return ((CommandResult.LeaseState) state.apply(index, command)).lease();
    }

    @Test
    void lease_holder_stops_before_the_leader_considers_the_lease_expired() {
        Lease lease = new Lease("box", "p1", 1, 1_000, false);
        LeaseExpiry expiry = new LeaseExpiry();
        assertThat(expiry.remainingMillis(lease, 50)).isEqualTo(1_020);
        assertThat(expiry.remainingMillis(lease, 1_060)).isPositive();
        assertThat(expiry.remainingMillis(lease, 1_070)).isZero();
        HeldLease held = new HeldLease(lease, 50);
        assertThat(held.isValidAt(700)).isTrue();
        assertThat(held.isValidAt(50 + 1_000 - 20 - HeldLease.maxDeliveryMillis(1_000)))
                .isFalse();
        expiry.reset();
        assertThat(expiry.remainingMillis(lease, 1_070)).isEqualTo(1_020);
    }
}
