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
 * The replicated state machine of the control group: configuration, leases, request ledger and origin budgets.
 *
 * <p>The state depends only on the sequence of applied commands. {@link #configuration()} returns an immutable object
 * that may be shared with other threads.
 *
 * <p>ReplicatedState is mutable and not thread-safe.
 */
public final class ReplicatedState {
    /** The maximum number of history entries; the oldest ones are removed first. */
    public static final int HISTORY_LENGTH = 10_000;

    private Configuration configuration;
    private final List<FileRecord> history;
    private final LeaseTable leases;
    private final RequestLedger ledger;
    private final Map<String, OriginBudget> originBudgets;

    private record EncodedState(
            long configurationIndex,
            List<FileRecord> files,
            Map<String, String> inService,
            List<FileRecord> history,
            List<Lease> leases,
            List<Claim> claims,
            Map<String, OriginBudget.Snapshot> originBudgets) {}

    /** Returns the initial state, not null. */
    public static ReplicatedState empty() {
        return new ReplicatedState(
                Configuration.empty(), new ArrayList<>(), new LeaseTable(), new RequestLedger(), new HashMap<>());
    }

    /**
     * Restores the state from a snapshot.
     *
     * @param snapshot the result of {@link #snapshot()}, or an empty array for the initial state, not null
     * @return the state, not null
     */
    public static ReplicatedState restore(byte[] snapshot) {
        if (snapshot.length == 0) {
            return empty();
        }
        EncodedState decoded = MessagePackCodec.instance().decode(snapshot, EncodedState.class);
        Map<String, OriginBudget> budgets = new HashMap<>();
        decoded.originBudgets().forEach((manifest, budget) -> budgets.put(manifest, OriginBudget.restore(budget)));
        return new ReplicatedState(
                Configuration.of(decoded.configurationIndex(), decoded.files(), decoded.inService()),
                new ArrayList<>(decoded.history()),
                LeaseTable.of(decoded.leases()),
                RequestLedger.of(decoded.claims()),
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

    // ---- Queries

    /** Returns the current configuration, not null. */
    public Configuration configuration() {
        return configuration;
    }

    /** Returns the accepted files, oldest first and without their text, not null. */
    public List<FileRecord> history() {
        return List.copyOf(history);
    }

    /** Returns the leases, not null. */
    public LeaseTable leases() {
        return leases;
    }

    /** Returns the number of claims in the request ledger. */
    public int claimCount() {
        return ledger.claims().size();
    }

    /** Returns the number of copies granted from the origin for each manifest, not null. */
    public Map<String, Double> originCopies() {
        Map<String, Double> copies = new HashMap<>();
        originBudgets.forEach((manifest, budget) -> copies.put(manifest, budget.grantedCopies()));
        return copies;
    }

    /**
     * Returns whether a request for origin grants would change the state; otherwise it need not be replicated.
     *
     * @param grant the request, with the time set by the leader, not null
     * @return false if no chunk would be granted and the request reports no completed fetches
     */
    public boolean wouldChange(Command.GrantOrigin grant) {
        OriginBudget budget = originBudgets.get(grant.manifest());
        return budget == null || grant.reportsCompletedFetches() || budget.hasGrantFor(grant.request());
    }

    /** Returns the encoded state, not null. */
    public byte[] snapshot() {
        Map<String, OriginBudget.Snapshot> budgets = new HashMap<>();
        originBudgets.forEach((manifest, budget) -> budgets.put(manifest, budget.snapshot()));
        return MessagePackCodec.instance()
                .encode(new EncodedState(
                        configuration.index(),
                        configuration.files(),
                        configuration.inService(),
                        history,
                        leases.leases(),
                        ledger.claims(),
                        budgets));
    }

    // ---- Commands

    /**
     * Applies a committed command.
     *
     * @param index the index of the log entry, greater than any previous one
     * @param command the command, not null
     * @return the result, not null
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
        } else if (command instanceof Command.RecordResponse record) {
            ledger.record(record.account(), record.key(), record.attempt(), record.answer());
        } else if (command instanceof Command.ReleaseClaim release) {
            ledger.release(release.account(), release.key(), release.attempt());
        } else if (command instanceof Command.GrantOrigin grant) {
            return grantOrigin(grant);
        }
        return new CommandResult.Done();
    }

    private CommandResult applyFile(long index, Command.ApplyFile apply) {
        OperatorFile content = Configuration.parseFile(apply.text());
        String digest = Digest.of(apply.text());
        for (FileRecord accepted : history) {
            if (accepted.name().equals(content.name()) && accepted.number() == content.number()) {
                return accepted.digest().equals(digest) ? accepted(accepted) : numberTaken(accepted);
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

    private static CommandResult numberTaken(FileRecord record) {
        String message = ResultCode.VERSION_HELD.number() + " " + record.name() + " number: " + record.number()
                + " is held by " + record.submittedBy() + " with digest " + record.digest();
        return new CommandResult.FileRefused(ResultCode.VERSION_HELD, List.of(message));
    }

    private CommandResult enterService(long index, Command.EnterService enter) {
        boolean wanted = configuration
                .model(enter.model())
                .flatMap(configuration::desiredVersion)
                .filter(version -> version.manifest().equals(enter.manifest()))
                .isPresent();
        boolean inService = enter.manifest().equals(configuration.inService().get(enter.model()));
        if (wanted && !inService) {
            configuration = configuration.withInService(index, enter.model(), enter.manifest());
        }
        return new CommandResult.Done();
    }

    private CommandResult acquireLease(long index, Command.AcquireLease acquire) {
        Lease lease = leases.acquire(
                acquire.name(), acquire.holder(), index, acquire.durationMillis(), acquire.expiredFence());
        return new CommandResult.LeaseState(lease, lease.fence() == index, 0);
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
        return new CommandResult.ClaimDecision(ledger.claim(wanted, claim.nowMillis()));
    }

    private CommandResult grantOrigin(Command.GrantOrigin grant) {
        OriginBudget budget =
                originBudgets.computeIfAbsent(grant.manifest(), manifest -> OriginBudget.ofChunks(grant.chunkCount()));
        budget.completeGrants(BitSet.valueOf(grant.kept()), BitSet.valueOf(grant.failed()), grant.nowMillis());
        return new CommandResult.OriginGranted(budget.grant(grant.request()));
    }
}
