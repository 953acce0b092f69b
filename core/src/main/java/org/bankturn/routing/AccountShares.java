package org.bankturn.routing;

import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Tells how far a client account must make room for the others of a service.
 *
 * <p>Load pattern: one account sends several times its usual load. Work is measured in tokens, over the recent past. An
 * account whose admitted work exceeds a multiple of the mean of the others gets a lower admission limit, so it is
 * rejected first when capacity is short; while engines start requests soon, the lower limit rejects nothing. The
 * factor has a lower bound, so that no account is shut out.
 *
 * <p>AccountShares is mutable and not thread-safe.
 */
final class AccountShares {
    /** The weight of an answer token, relative to a prompt token, which is processed much faster. */
    private static final double ANSWER_TOKEN_WEIGHT = 10;

    /** The time in which recorded work halves; rejected callers retry within it. */
    private static final double HALF_LIFE_MILLIS = 3_000;

    /** The multiple of the others' mean above which an account is limited; usual loads of accounts differ that much. */
    private static final double MAX_RATIO = 4;

    /** The lowest factor; a request then still starts on an engine that has a free slot. */
    private static final double MIN_FACTOR = 0.6;

    /** The maximum number of accounts; further ones share one entry. */
    private static final int MAX_ACCOUNTS = 256;

    /** The work below which an account counts as idle, about a tenth of a small request. */
    private static final double IDLE_WORK = 100;

    private static final String FURTHER_ACCOUNTS = "\0";

    private final Clock clock;
    private final Map<String, Work> work = new HashMap<>();

    /** The decayed work of an account at a time. */
    private record Work(double tokens, long atMillis) {
        double at(long millis) {
            return tokens * Math.pow(0.5, (millis - atMillis) / HALF_LIFE_MILLIS);
        }
    }

    static AccountShares none(Clock clock) {
        return new AccountShares(clock);
    }

    private AccountShares(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records an admitted request.
     *
     * @param account the account, empty for anonymous callers, not null
     * @param promptTokens the size of its prompt
     * @param answerTokens the expected size of its answer
     */
    void admitted(String account, int promptTokens, int answerTokens) {
        long now = clock.millis();
        if (!work.containsKey(account) && work.size() >= MAX_ACCOUNTS) {
            work.values().removeIf(each -> each.at(now) < IDLE_WORK);
        }
        String key = keyOf(account);
        work.put(key, new Work(recent(key, now) + promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens, now));
    }

    /** Returns the factor, up to 1, by which the admission limit of an account is reduced. */
    double limitFactor(String account) {
        long now = clock.millis();
        double own = recent(keyOf(account), now);
        double total = 0;
        int active = 0;
        for (Work each : work.values()) {
            double tokens = each.at(now);
            total += tokens;
            active += tokens >= IDLE_WORK ? 1 : 0;
        }
        if (own < IDLE_WORK || active < 2) {
            return 1;
        }
        double othersMean = (total - own) / (active - 1);
        return Math.max(MIN_FACTOR, Math.min(1, MAX_RATIO * othersMean / own));
    }

    private String keyOf(String account) {
        return work.containsKey(account) || work.size() < MAX_ACCOUNTS ? account : FURTHER_ACCOUNTS;
    }

    private double recent(String key, long now) {
        Work known = work.get(key);
        return known == null ? 0 : known.at(now);
    }
}
