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
 * The recent requests with idempotency keys in the replicated state.
 *
 * <p>A claim is granted to one attempt; other attempts with the same key receive the outcome of that attempt. Claims
 * are replicated, so they hold across all entry processes, and none is granted without a majority. Modelled in
 * {@code specs/Ledger.tla}.
 *
 * <p>RequestLedger is mutable and not thread-safe.
 */
public final class RequestLedger {
    private final Map<String, Claim> claims = new HashMap<>();
    private final TreeMap<Long, Set<String>> byExpiry = new TreeMap<>();

    /**
     * Restores a ledger from a snapshot.
     *
     * @param claims the result of {@link #claims()}, not null
     * @return the ledger, not null
     */
    public static RequestLedger of(Collection<Claim> claims) {
        RequestLedger ledger = new RequestLedger();
        claims.forEach(ledger::put);
        return ledger;
    }

    /** Creates an empty ledger. */
    public RequestLedger() {}

    /** Returns all claims ordered by expiry, not null. */
    public List<Claim> claims() {
        List<Claim> all = new ArrayList<>();
        byExpiry.forEach((expiresMillis, identities) -> identities.stream()
                .map(claims::get)
                .filter(claim -> claim != null && claim.expiresMillis() == expiresMillis)
                .forEach(all::add));
        return all;
    }

    /**
     * Grants a claim, or returns the state of the existing claim on the key.
     *
     * @param wanted the requested claim, in state {@link ClaimState#RUNNING}, not null
     * @param nowMillis the leader's current time
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
     * Records the response to a claimed request; does nothing if the attempt does not hold the claim.
     *
     * @param account the client account, not null
     * @param key the idempotency key, not null
     * @param attempt the attempt, not null
     * @param answer the response, null if the outcome is unknown
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
     * Releases the claim of a request that is proven not to have run; does nothing if the attempt does not hold the
     * claim.
     *
     * @param account the client account, not null
     * @param key the idempotency key, not null
     * @param attempt the attempt, not null
     */
    public void release(String account, String key, String attempt) {
        claims.computeIfPresent(identity(account, key), (identity, held) -> {
            boolean ownedByAttempt = held.attempt().equals(attempt) && held.state() == ClaimState.RUNNING;
            return ownedByAttempt ? null : held;
        });
    }

    private void put(Claim claim) {
        String identity = identity(claim.account(), claim.key());
        claims.put(identity, claim);
        byExpiry.computeIfAbsent(claim.expiresMillis(), expiry -> new LinkedHashSet<>())
                .add(identity);
    }

    private void expire(long nowMillis) {
        while (!byExpiry.isEmpty() && byExpiry.firstKey() < nowMillis) {
            long expiry = byExpiry.firstKey();
            byExpiry.remove(expiry)
                    .forEach(identity -> claims.computeIfPresent(
                            identity, (key, claim) -> claim.expiresMillis() <= expiry ? null : claim));
        }
    }

    private static String identity(String account, String key) {
        return account + '\n' + key;
    }
}
