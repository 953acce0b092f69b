package org.bankturn.daemon.group;

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
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.bankturn.agreement.Agreement;
import org.bankturn.agreement.AgreementMessage;
import org.bankturn.agreement.LogEntry;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.Ready;
import org.bankturn.agreement.Role;
import org.bankturn.codec.MessagePackCodec;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.publication.PublicationCommand;
import org.bankturn.publication.PublicationState;
import org.bankturn.storage.AgreementStorage;
import org.bankturn.time.Clock;

/**
 * Runs one member of the group that publishes: stores before it sends, applies what is committed, answers submissions.
 *
 * <p>All of it happens on one thread. When the data folder refuses a write, the member forgets everything in memory and
 * starts anew from what the folder holds, as a restarted process would. Public methods are thread-safe.
 */
public final class GroupMember {
    private static final long TICK_MILLIS = 25;
    private static final long SUBMISSION_TIMEOUT_MILLIS = 3_000;
    private static final long JOIN_RETRY_MILLIS = 400;
    private static final long STORAGE_RETRY_MILLIS = 300;
    private static final int SNAPSHOT_EVERY_ENTRIES = 512;

    private final Wiring wiring;
    private final Clock clock;
    private final BlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<Long, Submission> submissions = new HashMap<>();
    private final Thread thread = new Thread(this::run, "group");
    private Agreement agreement;
    private AgreementStorage storage;
    private PublicationState state;
    private long appliedIndex;
    private long joinAskedMillis;
    private long heardLeaderMillis;
    private boolean wasLeading;
    private volatile boolean stopping;
    private volatile GroupView view;

    private record Submission(long term, long dueMillis, CompletableFuture<Outcome> result) {}

    /** What came of a submission. */
    public enum Outcome {
        /** A majority has synced it. */
        COMMITTED,
        /** This member does not lead: nothing happened. */
        NOT_LEADER,
        /** It is not known whether it will be committed. */
        UNKNOWN
    }

    /** Opens the data folder again and gives the member that it holds. */
    @FunctionalInterface
    public interface Recovery {
        /** Returns what the folder holds; throws if it cannot be read or prepared. */
        Recovered recover() throws IOException;
    }

    /**
     * A member as its folder holds it.
     *
     * @param agreement the state machine, not null
     * @param storage its storage, not null
     */
    public record Recovered(Agreement agreement, AgreementStorage storage) {}

    /**
     * What the member needs from the process around it.
     *
     * @param recovery opens the data folder, not null
     * @param send sends a message to a member; may lose it, not null
     * @param contacts where to ask when this box must join, not null
     * @param applied hears of each change of the state, on the member's thread, not null
     * @param log the decision log, not null
     */
    public record Wiring(
            Recovery recovery,
            BiConsumer<Member, AgreementMessage> send,
            Supplier<List<Member>> contacts,
            Consumer<PublicationState> applied,
            DecisionLog log) {}

    /** Returns a member that does not run yet, not null. */
    public static GroupMember of(Wiring wiring, Clock clock) {
        return new GroupMember(wiring, clock);
    }

    private GroupMember(Wiring wiring, Clock clock) {
        this.wiring = wiring;
        this.clock = clock;
        this.view = GroupView.unknown();
    }

    /** Starts the member's thread. */
    public void start() {
        thread.start();
    }

    /** Returns what is known of the group here, not null. */
    public GroupView view() {
        return view;
    }

    /** Takes in a message of the group. */
    public void receive(AgreementMessage message) {
        queue.add(() -> {
            if (agreement != null) {
                agreement.receive(message);
            }
        });
    }

    /** Submits a command; the outcome is given on the member's thread. */
    public CompletableFuture<Outcome> submit(PublicationCommand command) {
        CompletableFuture<Outcome> result = new CompletableFuture<>();
        queue.add(() -> propose(command, result));
        return result;
    }

    /** Reads the applied state on the member's thread. */
    public <T> CompletableFuture<T> query(Function<PublicationState, T> query) {
        CompletableFuture<T> result = new CompletableFuture<>();
        queue.add(() -> {
            if (state == null) {
                result.completeExceptionally(new IOException("nothing recovered yet"));
            } else {
                result.complete(query.apply(state));
            }
        });
        return result;
    }

    /** Hands leadership over and stops the thread. */
    public void stop() {
        queue.add(() -> {
            if (agreement != null) {
                agreement.transferLeadership();
            }
        });
        queue.add(() -> stopping = true);
        try {
            thread.join(SUBMISSION_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // ---- the member's thread

    private void run() {
        while (!stopping) {
            try {
                recover();
                while (!stopping) {
                    step();
                }
            } catch (IOException e) {
                wiring.log().write(DecisionKind.LOST, "dependency", "data folder", "error", e.getMessage());
                forget();
                pause();
            }
        }
    }

    private void recover() throws IOException {
        Recovered recovered = wiring.recovery().recover();
        agreement = recovered.agreement();
        storage = recovered.storage();
        state = PublicationState.restore(agreement.snapshot().state());
        appliedIndex = agreement.snapshot().index();
        wiring.log()
                .write(
                        DecisionKind.GROUP,
                        "event",
                        "recovered",
                        "term",
                        agreement.term(),
                        "last",
                        agreement.lastIndex(),
                        "members",
                        agreement.members().size());
        publishView();
    }

    private void forget() {
        agreement = null;
        state = null;
        view = GroupView.unknown();
        submissions.values().forEach(each -> each.result().complete(Outcome.UNKNOWN));
        submissions.clear();
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
        failOverdueSubmissions();
        publishView();
    }

    private void runQueued() {
        List<Runnable> waiting = new ArrayList<>();
        try {
            Runnable first = queue.poll(TICK_MILLIS, TimeUnit.MILLISECONDS);
            if (first != null) {
                waiting.add(first);
                queue.drainTo(waiting);
            }
        } catch (InterruptedException e) {
            stopping = true;
        }
        waiting.forEach(Runnable::run);
    }

    /** A box outside the group asks to join; so does one that hears from no leader, as it may have been removed. */
    private void askToJoinIfNeeded() {
        long now = clock.millis();
        if (agreement.leader().isPresent()) {
            heardLeaderMillis = now;
        }
        boolean outside = agreement.members().stream().noneMatch(agreement.self()::equals);
        boolean alone = now - heardLeaderMillis > 4 * JOIN_RETRY_MILLIS;
        if ((outside || alone) && now - joinAskedMillis >= JOIN_RETRY_MILLIS) {
            joinAskedMillis = now;
            agreement.askToJoin(wiring.contacts().get());
        }
    }

    private void carryOut(Ready ready) throws IOException {
        if (ready.mustSync()) {
            storage.store(ready);
        }
        for (Ready.Outbound outbound : ready.messages()) {
            wiring.send().accept(outbound.to(), outbound.message());
        }
        if (ready.installed() != null) {
            state = PublicationState.restore(ready.installed().state());
            appliedIndex = ready.installed().index();
        }
        for (LogEntry entry : ready.committed()) {
            apply(entry);
        }
        if (ready.installed() != null || !ready.committed().isEmpty()) {
            wiring.applied().accept(state);
        }
        if (appliedIndex - agreement.snapshot().index() >= SNAPSHOT_EVERY_ENTRIES) {
            storage.compact(agreement.compact(appliedIndex, state.snapshot()));
        }
    }

    private void apply(LogEntry entry) {
        appliedIndex = entry.index();
        if (entry.command().length > 0) {
            state.apply(entry.index(), MessagePackCodec.instance().decode(entry.command(), PublicationCommand.class));
        }
        Submission submission = submissions.remove(entry.index());
        if (submission != null) {
            boolean mine = submission.term() == entry.term();
            submission.result().complete(mine ? Outcome.COMMITTED : Outcome.UNKNOWN);
        }
    }

    private void propose(PublicationCommand command, CompletableFuture<Outcome> result) {
        if (agreement == null || !agreement.isEstablishedLeader()) {
            result.complete(Outcome.NOT_LEADER);
            return;
        }
        OptionalLong index = agreement.propose(MessagePackCodec.instance().encode(command));
        if (index.isEmpty()) {
            result.complete(Outcome.NOT_LEADER);
            return;
        }
        long due = clock.millis() + SUBMISSION_TIMEOUT_MILLIS;
        submissions.put(index.getAsLong(), new Submission(agreement.term(), due, result));
    }

    private void failOverdueSubmissions() {
        boolean leading = agreement.role() == Role.LEADER;
        if (leading != wasLeading) {
            wasLeading = leading;
            wiring.log().write(DecisionKind.GROUP, "event", leading ? "leads" : "follows", "term", agreement.term());
        }
        long now = clock.millis();
        submissions.values().removeIf(submission -> {
            boolean lost = !leading || submission.term() != agreement.term() || now >= submission.dueMillis();
            return lost && submission.result().complete(Outcome.UNKNOWN);
        });
    }

    private void publishView() {
        Member leader = agreement.leader().orElse(null);
        boolean leads = agreement.isEstablishedLeader();
        boolean current = leads || (leader != null && agreement.role() == Role.FOLLOWER);
        view = new GroupView(agreement.self(), leader, agreement.members(), leads, current, agreement.heardMillis());
    }
}
