package org.bankturn.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.Digest;
import org.bankturn.configuration.FileRecord;
import org.bankturn.configuration.OperatorFile;
import org.bankturn.distribution.OriginBudget;
import org.bankturn.document.DocumentError;
import org.bankturn.lease.Lease;
import org.bankturn.lease.LeaseTable;
import org.bankturn.ledger.Claim;
import org.bankturn.ledger.ClaimState;
import org.bankturn.ledger.RequestLedger;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;

/**
 * All that the control boxes agree on: configuration, leases, the request ledger and the origin budgets.
 *
 * <p>Apply the committed commands in order; the result depends on nothing else. {@link #configuration()} gives an
 * immutable copy that other threads may read.
 *
 * <p>ReplicatedState is mutable and not thread-safe.
 */
public final class ReplicatedState {
    /** Entries of the history that are kept; older ones are dropped, oldest first. */
    public static final int HISTORY_LENGTH = 10_000;

    private Configuration configuration;
    private final List<FileRecord> history;
    private final LeaseTable leases;
    private final RequestLedger ledger;
    private final Map<String, OriginBudget> originBudgets;

    private record Saved(
            long configurationIndex,
            List<FileRecord> files,
            Map<String, String> inService,
            List<FileRecord> history,
            List<Lease> leases,
            List<Claim> claims,
            Map<String, OriginBudget.Snapshot> originBudgets) {}

    /** Returns the state before any command, not null. */
    public static ReplicatedState empty() {
        return new ReplicatedState(
                Configuration.empty(), new ArrayList<>(), new LeaseTable(), new RequestLedger(), new HashMap<>());
    }

    /**
     * Restores a state.
     *
     * @param snapshot what {@link #snapshot()} gave, or no bytes for the empty state, not null
     * @return the state, not null
     */
    public static ReplicatedState restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            return empty();
        }
        Saved saved = MessagePackCodec.instance().decode(snapshot, Saved.class);
        Map<String, OriginBudget> budgets = new HashMap<>();
        saved.originBudgets().forEach((manifest, budget) -> budgets.put(manifest, OriginBudget.restore(budget)));
        return new ReplicatedState(
                Configuration.of(saved.configurationIndex(), saved.files(), saved.inService()),
                new ArrayList<>(saved.history()),
                LeaseTable.of(saved.leases()),
                RequestLedger.of(saved.claims()),
                budgets);
    }

    private ReplicatedState(
            Configuration configuration,
            List<FileRecord> history,
            LeaseTable leases,
            RequestLedger ledger,
            Map<String, OriginBudget> originBudgets) {
        this.configuration = configuration;
        this.history = history;
        this.leases = leases;
        this.ledger = ledger;
        this.originBudgets = originBudgets;
    }

    // ---- queries

    /** Returns what is in force, not null. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns every accepted file, oldest first, without texts, not null. */
    public List<FileRecord> history() {
        return List.copyOf(history);
    }

    /** Returns the leases, not null. */
    public LeaseTable leases() {
        return leases;
    }

    /** Returns the number of keyed requests that are remembered. */
    public int claimCount() {
        return ledger.claims().size();
    }

    /** Returns the grants given for each manifest, in copies, not null. */
    public Map<String, Double> originCopies() {
        Map<String, Double> copies = new HashMap<>();
        originBudgets.forEach((manifest, budget) -> copies.put(manifest, budget.grantedCopies()));
        return copies;
    }

    /**
     * Tells whether a request for origin grants would change anything; if not, it need not be put into the log.
     *
     * @param grant the request, stamped with the leader's time, not null
     * @return false if nothing would be granted and no draw has ended
     */
    public boolean wouldChange(Command.GrantOrigin grant) {
        OriginBudget budget = originBudgets.get(grant.manifest());
        return budget == null || grant.tellsOfEnds() || budget.hasGrantFor(grant.request());
    }

    /** Returns the whole state, encoded, not null. */
    public byte[] snapshot() {
        Map<String, OriginBudget.Snapshot> budgets = new HashMap<>();
        originBudgets.forEach((manifest, budget) -> budgets.put(manifest, budget.snapshot()));
        return MessagePackCodec.instance()
                .encode(new Saved(
                        configuration.index(),
                        configuration.files(),
                        configuration.inService(),
                        history,
                        leases.leases(),
                        ledger.claims(),
                        budgets));
    }

    // ---- commands

    /**
     * Applies a committed command.
     *
     * @param index its place in the log, greater than any before
     * @param command the command, not null
     * @return the result, the same on every member, not null
     */
    public CommandResult apply(long index, Command command) {
        if (command instanceof Command.ApplyFile apply) {
            return applyFile(index, apply);
        }
        if (command instanceof Command.EnterService enter) {
            return enterService(index, enter);
        }
        if (command instanceof Command.AcquireLease acquire) {
            return acquireLease(index, acquire);
        }
        if (command instanceof Command.ReleaseLease release) {
            leases.release(release.name(), release.fence());
        } else if (command instanceof Command.ClaimRequest claim) {
            return claimRequest(claim);
        } else if (command instanceof Command.RecordAnswer record) {
            ledger.record(record.account(), record.key(), record.attempt(), record.answer());
        } else if (command instanceof Command.ReleaseClaim release) {
            ledger.release(release.account(), release.key(), release.attempt());
        } else if (command instanceof Command.GrantOrigin grant) {
            return grantOrigin(grant);
        }
        return new CommandResult.Done();
    }

    private CommandResult applyFile(long index, Command.ApplyFile apply) {
        OperatorFile content = Configuration.contentOf(apply.text());
        String digest = Digest.of(apply.text());
        for (FileRecord accepted : history) {
            if (accepted.name().equals(content.name()) && accepted.number() == content.number()) {
                return accepted.digest().equals(digest) ? accepted(accepted) : held(accepted);
            }
        }
        List<DocumentError> errors = configuration.check(content.name(), apply.text());
        if (!errors.isEmpty()) {
            List<String> lines = errors.stream().map(DocumentError::toString).toList();
            return new CommandResult.FileRefused(errors.get(0).code(), lines);
        }
        long next = 1 + newestNumber(content.name());
        if (content.number() != next) {
            String message = ResultCode.VERSION_NOT_NEXT.number() + " " + content.name() + " number: must be " + next
                    + ", not " + content.number();
            return new CommandResult.FileRefused(ResultCode.VERSION_NOT_NEXT, List.of(message));
        }
        FileRecord record =
                new FileRecord(content.name(), content.number(), index, apply.submittedBy(), digest, apply.text());
        configuration = configuration.withFile(record);
        history.add(record.withoutText());
        if (history.size() > HISTORY_LENGTH) {
            history.remove(0);
        }
        return accepted(record);
    }

    private long newestNumber(String file) {
        return configuration.files().stream()
                .filter(record -> record.name().equals(file))
                .mapToLong(FileRecord::number)
                .findFirst()
                .orElse(0);
    }

    private static CommandResult accepted(FileRecord record) {
        return new CommandResult.FileAccepted(
                record.name(), record.number(), record.index(), record.digest(), record.submittedBy());
    }

    private static CommandResult held(FileRecord record) {
        String message = ResultCode.VERSION_HELD.number() + " " + record.name() + " number: " + record.number()
                + " is held by " + record.submittedBy() + " with digest " + record.digest();
        return new CommandResult.FileRefused(ResultCode.VERSION_HELD, List.of(message));
    }

    private CommandResult enterService(long index, Command.EnterService enter) {
        boolean stillWanted = configuration
                .model(enter.model())
                .flatMap(configuration::wantedVersion)
                .filter(version -> version.manifest().equals(enter.manifest()))
                .isPresent();
        boolean already = enter.manifest().equals(configuration.inService().get(enter.model()));
        if (stillWanted && !already) {
            configuration = configuration.withInService(index, enter.model(), enter.manifest());
        }
        return new CommandResult.Done();
    }

    private CommandResult acquireLease(long index, Command.AcquireLease acquire) {
        Lease lease = leases.acquire(
                acquire.name(), acquire.holder(), index, acquire.durationMillis(), acquire.expiredFence());
        return new CommandResult.LeaseAnswer(lease, lease.fence() == index, 0);
    }

    private CommandResult claimRequest(Command.ClaimRequest claim) {
        Claim wanted = new Claim(
                claim.account(),
                claim.key(),
                claim.fingerprint(),
                claim.attempt(),
                ClaimState.RUNNING,
                claim.deadlineMillis(),
                claim.expiresMillis(),
                null);
        return new CommandResult.ClaimAnswer(ledger.claim(wanted, claim.nowMillis()));
    }

    private CommandResult grantOrigin(Command.GrantOrigin grant) {
        OriginBudget budget =
                originBudgets.computeIfAbsent(grant.manifest(), manifest -> OriginBudget.ofChunks(grant.chunkCount()));
        budget.completeGrants(BitSet.valueOf(grant.kept()), BitSet.valueOf(grant.failed()), grant.nowMillis());
        return new CommandResult.OriginGranted(budget.grant(grant.request()));
    }
}
