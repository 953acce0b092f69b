package org.bankturn.daemon.member;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Role;
import org.bankturn.agreement.Snapshot;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;

/**
 * Drives one member of a Raft group: stores before it sends, applies committed entries, completes submissions.
 *
 * <p>A single thread processes all queued input, stores the result with one sync, then sends the messages. Methods are
 * thread-safe unless documented to be confined to the member's thread.
 *
 * @param <R> the result of an applied command
 */
public final class MemberLoop<R> {
    private static final long STORAGE_RETRY_MILLIS = 300;
    private static final int LEADERLESS_JOIN_RETRIES = 4;

    private final ReplicatedStateMachine<R> stateMachine;
    private final MemberLoopSettings settings;
    private final Clock clock;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Submission<R>> submissions = new HashMap<>();
    private final Thread thread;
    private RaftNode raftNode;
    private RaftStorage storage;
    private long appliedIndex;
    private long appliedBytesAfterSnapshot;
    private long lastJoinRequestMillis;
    private long lastLeaderContactMillis;
    private boolean wasLeader;
    private volatile boolean stopping;

    private record Submission<R>(long term, long deadlineMillis, CompletableFuture<R> result) {}

    /** Returns a loop that is not started, not null. */
    public static <R> MemberLoop<R> of(
            ReplicatedStateMachine<R> stateMachine, MemberLoopSettings settings, Clock clock, String threadName) {
        return new MemberLoop<>(stateMachine, settings, clock, threadName);
    }

    private MemberLoop(
            ReplicatedStateMachine<R> stateMachine, MemberLoopSettings settings, Clock clock, String threadName) {
        this.stateMachine = stateMachine;
        this.settings = settings;
        this.clock = clock;
        this.thread = new Thread(this::run, threadName);
    }

    /** Starts the member's thread. */
    public void start() {
        thread.start();
    }

    /** Processes a message from another member. */
    public void receive(RaftMessage message) {
        queue.add(() -> {
            if (raftNode != null) {
                raftNode.receive(message);
            }
        });
    }

    /** Runs an action on the member's thread, whether or not the member has recovered. */
    public void execute(Runnable action) {
        queue.add(action);
    }

    /** Evaluates a query on the member's thread; fails if the member has not recovered. */
    public <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        queue.add(() -> {
            if (raftNode == null) {
                result.completeExceptionally(new IOException("the member has not recovered from its data folder"));
            } else {
                result.complete(query.get());
            }
        });
        return result;
    }

    /** Transfers leadership and stops the thread; waits for it at most {@code waitMillis}. */
    public void stop(long waitMillis) {
        queue.add(() -> {
            if (raftNode != null) {
                raftNode.transferLeadership();
            }
        });
        queue.add(() -> stopping = true);
        try {
            thread.join(waitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- confined to the member's thread

    /** Returns the Raft node, null if the member has not recovered; confined to the member's thread. */
    public RaftNode raftNode() {
        return raftNode;
    }

    /**
     * Proposes a command; confined to the member's thread.
     *
     * @param command the encoded command, not null
     * @param result completed once the entry is applied or its outcome is unknown, not null
     * @return false if this member is not the leader and the command was not proposed
     */
    public boolean propose(byte[] command, CompletableFuture<R> result) {
        OptionalLong index = raftNode == null ? OptionalLong.empty() : raftNode.propose(command);
        if (index.isEmpty()) {
            return false;
        }
        long deadline = clock.millis() + settings.submissionTimeoutMillis();
        submissions.put(index.getAsLong(), new Submission<>(raftNode.term(), deadline, result));
        return true;
    }

    private void run() {
        boolean restart = true;
        while (restart && !stopping) {
            restart = runUntilStorageFails();
        }
    }

    /** Returns true if the member must recover from storage again. */
    private boolean runUntilStorageFails() {
        try {
            recover();
            while (!stopping) {
                step();
            }
            return false;
        } catch (IOException e) {
            discardState();
            boolean restart = stateMachine.storageFailed(e);
            if (restart) {
                pauseBeforeRecovery();
            }
            return restart;
        }
    }

    private void recover() throws IOException {
        ReplicatedStateMachine.Recovered recovered = stateMachine.recover();
        stateMachine.restore(recovered.raftNode().snapshot().state());
        appliedIndex = recovered.raftNode().snapshot().index();
        appliedBytesAfterSnapshot = 0;
        storage = recovered.storage();
        raftNode = recovered.raftNode();
        // Applies the committed entries after the snapshot, so that no query sees the older state of the snapshot.
        processReady(raftNode.ready());
        stateMachine.publishView(raftNode);
    }

    private void discardState() {
        submissions.values().forEach(each -> each.result().complete(stateMachine.unknownOutcome(raftNode)));
        submissions.clear();
        raftNode = null;
    }

    private void pauseBeforeRecovery() {
        long until = clock.millis() + STORAGE_RETRY_MILLIS;
        while (!stopping && clock.millis() < until) {
            runQueued();
        }
    }

    private void step() throws IOException {
        runQueued();
        raftNode.tick();
        requestJoinIfNeeded();
        processReady(raftNode.ready());
        notifyLeadershipChange();
        failOverdueSubmissions();
        stateMachine.publishView(raftNode);
    }

    private void runQueued() {
        List<Runnable> actions = new ArrayList<>();
        try {
            Runnable first = queue.poll(settings.tickMillis(), TimeUnit.MILLISECONDS);
            if (first != null) {
                actions.add(first);
                queue.drainTo(actions);
            }
        } catch (InterruptedException e) {
            stopping = true;
        }
        actions.forEach(Runnable::run);
    }

    private void requestJoinIfNeeded() {
        long now = clock.millis();
        if (raftNode.leader().isPresent()) {
            lastLeaderContactMillis = now;
        }
        boolean notMember = raftNode.members().stream().noneMatch(raftNode.self()::equals);
        boolean leaderless = settings.rejoinsWithoutLeader()
                && now - lastLeaderContactMillis > LEADERLESS_JOIN_RETRIES * settings.joinRetryMillis();
        if ((notMember || leaderless) && now - lastJoinRequestMillis >= settings.joinRetryMillis()) {
            lastJoinRequestMillis = now;
            raftNode.requestJoin(stateMachine.contacts());
        }
    }

    private void processReady(Ready ready) throws IOException {
        if (ready.mustSync()) {
            storage.store(ready);
        }
        ready.messages().forEach(stateMachine::send);
        ready.events().forEach(stateMachine::membershipDecided);
        if (ready.installed() != null) {
            stateMachine.restore(ready.installed().state());
            appliedIndex = ready.installed().index();
            appliedBytesAfterSnapshot = 0;
        }
        ready.committed().forEach(this::apply);
        if (ready.installed() != null || !ready.committed().isEmpty()) {
            stateMachine.stateChanged();
        }
        compactIfNeeded();
    }

    private void compactIfNeeded() throws IOException {
        Snapshot snapshot = raftNode.snapshot();
        long entries = appliedIndex - snapshot.index();
        if (settings.needsSnapshot(entries, appliedBytesAfterSnapshot, snapshot.state().length)) {
            storage.compact(raftNode.compact(appliedIndex, stateMachine.snapshot()));
            appliedBytesAfterSnapshot = 0;
        }
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.index();
        appliedBytesAfterSnapshot += entry.sizeBytes();
        R applied = stateMachine.apply(entry);
        Submission<R> submission = submissions.remove(entry.index());
        if (submission != null) {
            boolean own = submission.term() == entry.term();
            submission.result().complete(own ? applied : stateMachine.unknownOutcome(raftNode));
        }
    }

    private void notifyLeadershipChange() {
        boolean leader = raftNode.role() == Role.LEADER;
        if (leader != wasLeader) {
            wasLeader = leader;
            stateMachine.leadershipChanged(raftNode);
        }
    }

    private void failOverdueSubmissions() {
        long now = clock.millis();
        submissions.values().removeIf(submission -> {
            boolean lost = raftNode.role() != Role.LEADER
                    || submission.term() != raftNode.term()
                    || now >= submission.deadlineMillis();
            return lost && submission.result().complete(stateMachine.unknownOutcome(raftNode));
        });
    }
}
