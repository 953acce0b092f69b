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
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;

/**
 * Drives one member of an agreement group: stores before it sends, applies what is committed, answers submissions.
 *
 * <p>All of it happens on one thread, which takes everything that has queued up, stores it with one sync, then sends.
 * Methods that say so may be called on that thread only; the others are thread-safe.
 *
 * @param <R> what is told of a command once it is applied
 */
public final class MemberLoop<R> {
    private static final long STORAGE_RETRY_MILLIS = 300;
    private static final int ALONE_AFTER_JOIN_RETRIES = 4;

    private final ReplicatedStateMachine<R> state;
    private final MemberLoopSettings timing;
    private final Clock clock;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Submission<R>> submissions = new HashMap<>();
    private final Thread thread;
    private RaftNode agreement;
    private RaftStorage storage;
    private long appliedIndex;
    private long joinAskedMillis;
    private long heardLeaderMillis;
    private boolean wasLeading;
    private volatile boolean stopping;

    private record Submission<R>(long term, long dueMillis, CompletableFuture<R> result) {}

    /** Returns a loop that does not run yet, not null. */
    public static <R> MemberLoop<R> of(
            ReplicatedStateMachine<R> state, MemberLoopSettings timing, Clock clock, String threadName) {
        return new MemberLoop<>(state, timing, clock, threadName);
    }

    private MemberLoop(ReplicatedStateMachine<R> state, MemberLoopSettings timing, Clock clock, String threadName) {
        this.state = state;
        this.timing = timing;
        this.clock = clock;
        this.thread = new Thread(this::run, threadName);
    }

    /** Starts the member's thread. */
    public void start() {
        thread.start();
    }

    /** Takes in a message of the group. */
    public void receive(RaftMessage message) {
        queue.add(() -> {
            if (agreement != null) {
                agreement.receive(message);
            }
        });
    }

    /** Runs an action on the member's thread, once something has been recovered or while nothing is. */
    public void execute(Runnable action) {
        queue.add(action);
    }

    /** Reads something on the member's thread; fails while nothing is recovered. */
    public <T> CompletableFuture<T> query(Supplier<T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        queue.add(() -> {
            if (agreement == null) {
                result.completeExceptionally(new IOException("nothing recovered yet"));
            } else {
                result.complete(query.get());
            }
        });
        return result;
    }

    /** Hands leadership over and stops the thread; waits for it no longer than {@code waitMillis}. */
    public void stop(long waitMillis) {
        queue.add(() -> {
            if (agreement != null) {
                agreement.transferLeadership();
            }
        });
        queue.add(() -> stopping = true);
        try {
            thread.join(waitMillis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- on the member's thread only

    /** Returns the state machine, null while nothing is recovered; on the member's thread only. */
    public RaftNode raftNode() {
        return agreement;
    }

    /**
     * Puts a command into the log; on the member's thread only.
     *
     * @param command the encoded command, not null
     * @param result is completed once the entry is applied, or its fate is unknown
     * @return false if this member does not lead: nothing happened
     */
    public boolean propose(byte[] command, CompletableFuture<R> result) {
        OptionalLong index = agreement == null ? OptionalLong.empty() : agreement.propose(command);
        if (index.isEmpty()) {
            return false;
        }
        long due = clock.millis() + timing.submissionTimeoutMillis();
        submissions.put(index.getAsLong(), new Submission<>(agreement.term(), due, result));
        return true;
    }

    private void run() {
        boolean again = true;
        while (again && !stopping) {
            again = runUntilStorageFails();
        }
    }

    /** Returns true if the member shall start anew. */
    private boolean runUntilStorageFails() {
        try {
            recover();
            while (!stopping) {
                step();
            }
            return false;
        } catch (IOException e) {
            forget();
            boolean again = state.storageFailed(e);
            if (again) {
                pause();
            }
            return again;
        }
    }

    private void recover() throws IOException {
        ReplicatedStateMachine.Recovered recovered = state.recover();
        state.restore(recovered.raftNode().snapshot().state());
        appliedIndex = recovered.raftNode().snapshot().index();
        storage = recovered.storage();
        agreement = recovered.raftNode();
        // before anything is asked: without this it would be shown the snapshot, hundreds of changes old
        carryOut(agreement.ready());
        state.publishView(agreement);
    }

    private void forget() {
        submissions.values().forEach(each -> each.result().complete(state.unknownOutcome(agreement)));
        submissions.clear();
        agreement = null;
    }

    private void pause() {
        long until = clock.millis() + STORAGE_RETRY_MILLIS;
        while (!stopping && clock.millis() < until) {
            runQueued();
        }
    }

    private void step() throws IOException {
        runQueued();
        agreement.tick();
        askToJoinIfNeeded();
        carryOut(agreement.ready());
        noteLeadership();
        failOverdueSubmissions();
        state.publishView(agreement);
    }

    private void runQueued() {
        List<Runnable> waiting = new ArrayList<>();
        try {
            Runnable first = queue.poll(timing.tickMillis(), TimeUnit.MILLISECONDS);
            if (first != null) {
                waiting.add(first);
                queue.drainTo(waiting);
            }
        } catch (InterruptedException e) {
            stopping = true;
        }
        waiting.forEach(Runnable::run);
    }

    private void askToJoinIfNeeded() {
        long now = clock.millis();
        if (agreement.leader().isPresent()) {
            heardLeaderMillis = now;
        }
        boolean outside = agreement.members().stream().noneMatch(agreement.self()::equals);
        boolean alone = timing.rejoinsWithoutLeader()
                && now - heardLeaderMillis > ALONE_AFTER_JOIN_RETRIES * timing.joinRetryMillis();
        if ((outside || alone) && now - joinAskedMillis >= timing.joinRetryMillis()) {
            joinAskedMillis = now;
            agreement.requestJoin(state.contacts());
        }
    }

    private void carryOut(Ready ready) throws IOException {
        if (ready.mustSync()) {
            storage.store(ready);
        }
        ready.messages().forEach(state::send);
        if (ready.installed() != null) {
            state.restore(ready.installed().state());
            appliedIndex = ready.installed().index();
        }
        ready.committed().forEach(this::apply);
        if (ready.installed() != null || !ready.committed().isEmpty()) {
            state.stateChanged();
        }
        if (appliedIndex - agreement.snapshot().index() >= timing.snapshotEvery()) {
            storage.compact(agreement.compact(appliedIndex, state.snapshot()));
        }
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.index();
        R applied = state.apply(entry);
        Submission<R> submission = submissions.remove(entry.index());
        if (submission != null) {
            boolean own = submission.term() == entry.term();
            submission.result().complete(own ? applied : state.unknownOutcome(agreement));
        }
    }

    private void noteLeadership() {
        boolean leading = agreement.role() == Role.LEADER;
        if (leading != wasLeading) {
            wasLeading = leading;
            state.leadershipChanged(agreement);
        }
    }

    private void failOverdueSubmissions() {
        long now = clock.millis();
        submissions.values().removeIf(submission -> {
            boolean lost = agreement.role() != Role.LEADER
                    || submission.term() != agreement.term()
                    || now >= submission.dueMillis();
            return lost && submission.result().complete(state.unknownOutcome(agreement));
        });
    }
}
