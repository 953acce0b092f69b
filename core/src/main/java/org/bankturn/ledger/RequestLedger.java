package org.bankturn.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Every keyed request of late, as part of the state that the agreement log leads to.
 *
 * <p>A claim is granted to one attempt; every other attempt learns what came of that one. Since grants are ordered in
 * the agreement log, a retry through any entry process meets them, and an entry process that cannot reach a majority
 * cannot run keyed requests. specs/Ledger.tla uses the same action names. Times come from the leader, in the commands.
 *
 * <p>RequestLedger is mutable and not thread-safe.
 */
public final class RequestLedger {
    private final Map<String, Claim> claims = new HashMap<>();
    private final TreeMap<Long, Set<String>> byExpiry = new TreeMap<>();

    /**
     * Restores a ledger.
     *
     * @param claims what {@link #claims()} gave, not null
     * @return the ledger, not null
     */
    public static RequestLedger of(Collection<Claim> claims) {
        RequestLedger ledger = new RequestLedger();
        claims.forEach(ledger::put);
        return ledger;
    }

    /** Creates a ledger without claims. */
    public RequestLedger() {}

    /** Returns every claim, ordered by expiry, not null. */
    public List<Claim> claims() {
        List<Claim> all = new ArrayList<>();
        byExpiry.forEach((expiresMillis, identities) -> identities.stream()
                .map(claims::get)
                .filter(claim -> claim != null && claim.expiresMillis() == expiresMillis)
                .forEach(all::add));
        return all;
    }

    /**
     * Grants the claim on a key, or says what became of it.
     *
     * @param wanted the claim to put in place, RUNNING, not null
     * @param nowMillis the leader's time
     * @return the result, not null
     */
    public ClaimResult claim(Claim wanted, long nowMillis) {
        expire(nowMillis);
        Claim held = claims.get(identity(wanted.account(), wanted.key()));
        if (held == null) {
            put(wanted);
            return new ClaimResult.Granted();
        }
        if (held.attempt().equals(wanted.attempt()) && held.state() == ClaimState.RUNNING) {
            return new ClaimResult.Granted();
        }
        if (!held.fingerprint().equals(wanted.fingerprint())) {
            return new ClaimResult.KeyReused();
        }
        if (held.state() == ClaimState.ANSWERED) {
            return new ClaimResult.Answered(held.answer());
        }
        boolean running = held.state() == ClaimState.RUNNING && nowMillis < held.deadlineMillis();
        return running ? new ClaimResult.Running(held.deadlineMillis() - nowMillis) : new ClaimResult.Unknown();
    }

    /**
     * Records the answer that the holder of a claim got; does nothing for any other attempt.
     *
     * @param account the client account, not null
     * @param key the idempotency key, not null
     * @param attempt the attempt, not null
     * @param answer the answer, null if the outcome is not known
     */
    public void record(String account, String key, String attempt, RecordedResponse answer) {
        claims.computeIfPresent(identity(account, key), (identity, held) -> {
            if (!held.attempt().equals(attempt) || held.state() == ClaimState.ANSWERED) {
                return held;
            }
            return answer == null ? held.withUnknownOutcome() : held.withResponse(answer);
        });
    }

    /**
     * Takes back a claim whose request was proven not to have run; does nothing for any other attempt.
     *
     * @param account the client account, not null
     * @param key the idempotency key, not null
     * @param attempt the attempt, not null
     */
    public void release(String account, String key, String attempt) {
        claims.computeIfPresent(identity(account, key), (identity, held) -> {
            boolean mine = held.attempt().equals(attempt) && held.state() == ClaimState.RUNNING;
            return mine ? null : held;
        });
    }

    private void put(Claim claim) {
        String identity = identity(claim.account(), claim.key());
        claims.put(identity, claim);
        byExpiry.computeIfAbsent(claim.expiresMillis(), at -> new LinkedHashSet<>())
                .add(identity);
    }

    private void expire(long nowMillis) {
        while (!byExpiry.isEmpty() && byExpiry.firstKey() < nowMillis) {
            long at = byExpiry.firstKey();
            byExpiry.remove(at)
                    .forEach(identity -> claims.computeIfPresent(
                            identity, (key, claim) -> claim.expiresMillis() <= at ? null : claim));
        }
    }

    private static String identity(String account, String key) {
        return account + '\n' + key;
    }
}
