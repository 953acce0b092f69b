package org.bankturn.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.bankturn.time.ManualClock;
import org.junit.jupiter.api.Test;

class AccountSharesTest {
    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final AccountShares shares = AccountShares.none(clock);

    /** Guards against a surge of one account that costs all others as much as itself. */
    @Test
    void account_far_above_the_others_is_limited_and_the_others_are_not() {
        admit("small-1", 2);
        admit("small-2", 2);
        admit("large", 10);
        assertThat(shares.limitFactor("large")).isBetween(0.6, 0.85);
        assertThat(shares.limitFactor("small-1")).isEqualTo(1);
        assertThat(shares.limitFactor("unseen")).isEqualTo(1);
    }

    /** Guards against an account that is shut out, however much it sends. */
    @Test
    void limit_of_an_account_has_a_lower_bound() {
        admit("small", 1);
        admit("large", 10_000);
        assertThat(shares.limitFactor("large")).isEqualTo(0.6);
    }

    /** Guards against shares by request count, by which long requests would cost an account nothing. */
    @Test
    void shares_count_work_and_not_requests() {
        admit("others", 5);
        shares.admitted("large", 100_000, 100);
        assertThat(shares.limitFactor("large")).isEqualTo(0.6);
    }

    /** Guards against a limit on the only account, or on one beside idle accounts, which would waste capacity. */
    @Test
    void account_without_active_others_is_not_limited() {
        admit("other", 1);
        clock.advance(60_000);
        admit("large", 100);
        assertThat(shares.limitFactor("large")).isEqualTo(1);
    }

    @Test
    void surge_is_forgotten_with_time() {
        admit("large", 100);
        for (int second = 0; second < 20; second++) {
            clock.advance(1_000);
            admit("small", 1);
            admit("large", 1);
        }
        assertThat(shares.limitFactor("large")).isEqualTo(1);
    }

    /** Guards against state that grows with the number of accounts. */
    @Test
    void further_accounts_share_one_entry() {
        for (int account = 0; account < 256; account++) {
            admit("account-" + account, 1);
        }
        admit("further-1", 50);
        assertThat(shares.limitFactor("further-2")).isEqualTo(0.6);
        clock.advance(60_000);
        admit("further-2", 1);
        admit("account-0", 1);
        assertThat(shares.limitFactor("further-2")).isEqualTo(1);
    }

    private void admit(String account, int requests) {
        for (int request = 0; request < requests; request++) {
            shares.admitted(account, 1_000, 100);
        }
    }
}
