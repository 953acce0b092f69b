package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.apache.commons.rng.UniformRandomProvider;
import org.bankturn.agreement.RaftMessage.AppendReply;
import org.bankturn.agreement.RaftMessage.AppendRequest;
import org.bankturn.agreement.RaftMessage.JoinRequest;
import org.bankturn.agreement.RaftMessage.SnapshotRequest;
import org.bankturn.agreement.RaftMessage.TimeoutNow;
import org.bankturn.agreement.RaftMessage.VoteReply;
import org.bankturn.agreement.RaftMessage.VoteRequest;
import org.bankturn.time.Clock;

/**
 * One member of a Raft group, replicating an ordered log of commands.
 *
 * <p>RaftNode performs no I/O. After each call to {@link #tick}, {@link #receive} or {@link #propose}, the caller takes
 * the result of {@link #ready} and carries it out in the documented order. Membership changes one member at a time; see
 * {@link MembershipChanges}.
 *
 * <p>RaftNode is mutable and not thread-safe; a single thread must own it.
 */
public final class RaftNode {
    private static final int INITIAL_ELECTION_TIMEOUT_DIVISOR = 4;

    private final Member self;
    private final Clock clock;
    private final UniformRandomProvider random;
    private final RaftSettings settings;
    private final Predicate<Member> admissionPolicy;
    private final RaftLog log;

    private Role role = Role.FOLLOWER;
    private long term;
    private Member votedFor;
    private Member leader;
    private long commitIndex;
    private long electionDeadlineMillis;
    private long lastLeaderContactMillis = Long.MIN_VALUE / 2;
    private long lastCaughtUpMillis = Long.MIN_VALUE / 2;
    private long nextHeartbeatMillis;
    private boolean hasSeenLeader;
    private final Set<Member> votes = new HashSet<>();
    private final ProgressTracker progress = new ProgressTracker();
    private final MembershipChanges membershipChanges;
    private final LogReplicator replicator;
    private final Outbox outbox = new Outbox();
    private long deliveredIndex;

    /**
     * Creates a member from its persisted state; the first {@link #ready} returns the entries known to be committed.
     *
     * @param self this member, not null
     * @param stored the state recovered from storage, not null
     * @param settings the timing and size limits, not null
     * @param clock the clock, not null
     * @param random the source of randomness for election timeouts, not null
     * @param admissionPolicy decides whether a leader may admit a joining member, not null
     * @return the member in the follower role, not null
     */
    public static RaftNode recover(
            Member self,
            PersistentState stored,
            RaftSettings settings,
            Clock clock,
            UniformRandomProvider random,
            Predicate<Member> admissionPolicy) {
        return new RaftNode(self, stored, settings, clock, random, admissionPolicy);
    }

    private RaftNode(
            Member self,
            PersistentState stored,
            RaftSettings settings,
            Clock clock,
            UniformRandomProvider random,
            Predicate<Member> admissionPolicy) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.admissionPolicy = admissionPolicy;
        this.membershipChanges = new MembershipChanges(settings, progress, outbox);
        this.log = new RaftLog(stored.snapshot(), stored.entries());
        this.replicator = new LogReplicator(self, settings, log, progress, outbox, clock);
        this.term = stored.vote().term();
        this.votedFor = stored.vote().votedFor();
        this.commitIndex = Math.max(log.snapshot().index(), Math.min(stored.commitIndex(), log.lastIndex()));
        this.deliveredIndex = log.snapshot().index();
        restartElectionTimer();
    }

    // ---- Queries

    /** Returns this member, not null. */
    public Member self() {
        return self;
    }

    /** Returns this member's role, not null. */
    public Role role() {
        return role;
    }

    /** Returns the highest term this member has seen. */
    public long term() {
        return term;
    }

    /** Returns the leader of the current term, empty if unknown. */
    public Optional<Member> leader() {
        return Optional.ofNullable(leader);
    }

    /** Returns the latest membership in the log, whether committed or not, not null. */
    public List<Member> members() {
        return log.membersAt(log.lastIndex());
    }

    /** Returns the highest index that this member knows to be committed. */
    public long commitIndex() {
        return commitIndex;
    }

    /** Returns the index of the last entry of the log. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the snapshot at the start of the log, not null. */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    /** Returns true if this member is the leader and has committed an entry of its own term. */
    public boolean isEstablishedLeader() {
        return role == Role.LEADER && log.termAt(commitIndex) == term;
    }

    /**
     * Returns the time at which this member was last known to be up to date.
     *
     * <p>For a follower, this is when it last held every entry that its leader had committed; contact with the leader
     * alone does not count. For a leader, it is when it last had contact with a majority.
     */
    public long lastUpToDateMillis() {
        if (role != Role.LEADER) {
            return lastCaughtUpMillis;
        }
        List<Long> contacts = new ArrayList<>();
        peers().forEach(peer -> contacts.add(progress.lastContactMillis(peer)));
        contacts.add(clock.millis());
        contacts.sort((one, other) -> Long.compare(other, one));
        return contacts.get(members().size() / 2);
    }

    /** Returns the members that this leader has not heard from within an election timeout, empty if it does not lead. */
    public List<Member> silentMembers() {
        return role == Role.LEADER ? membershipChanges.silentMembers(peers(), clock.millis()) : List.of();
    }

    /** Returns the time since this leader last heard from a member, 0 for itself. */
    public long silentMillis(Member member) {
        return member.equals(self) ? 0 : clock.millis() - progress.lastContactMillis(member);
    }

    /** Returns the last entry that this leader knows a member to hold, 0 if none is known. */
    public long matchIndex(Member member) {
        return member.equals(self) ? log.lastIndex() : progress.matchIndex(member);
    }

    /** Returns how many members besides the silent ones may be lost before this leader has no majority. */
    public int tolerableLosses() {
        int members = members().size();
        int majority = members / 2 + 1;
        return Math.max(0, members - silentMembers().size() - majority);
    }

    // ---- Steps

    /** Processes expired timers: starts elections, sends heartbeats, and steps down without contact with a majority. */
    public void tick() {
        long now = clock.millis();
        if (role == Role.LEADER) {
            tickLeader(now);
        } else if (now >= electionDeadlineMillis) {
            if (isVoter(self)) {
                startElection(true);
            } else {
                restartElectionTimer();
            }
        }
    }

    /**
     * Sends a request to join the group to the given members, and to the leader if this member hears from it. A member
     * that does not lead passes the request on.
     *
     * @param peers the members to ask; their incarnations are ignored, not null
     */
    public void requestJoin(List<Member> peers) {
        JoinRequest request = JoinRequest.of(self);
        peers.forEach(peer -> send(peer, request));
        boolean leaderAsked =
                leader == null || peers.stream().anyMatch(peer -> peer.box().equals(leader.box()));
        if (!leaderAsked) {
            send(leader, request);
        }
    }

    /**
     * Appends a command to the log if this member is the leader.
     *
     * @param command the encoded command, not null
     * @return the index of the entry, empty if this member is not the leader; the command is committed once
     *     {@link Ready#committed} contains an entry with this index and the current term
     */
    public OptionalLong propose(byte[] command) {
        if (role != Role.LEADER) {
            return OptionalLong.empty();
        }
        appendAsLeader(command, null);
        return OptionalLong.of(log.lastIndex());
    }

    /** Transfers leadership to the most up-to-date peer; does nothing if this member is not the leader. */
    public void transferLeadership() {
        if (role != Role.LEADER) {
            return;
        }
        Member mostAdvanced = null;
        for (Member member : peers()) {
            if (mostAdvanced == null || progress.matchIndex(member) > progress.matchIndex(mostAdvanced)) {
                mostAdvanced = member;
            }
        }
        if (mostAdvanced != null) {
            replicator.replicate(mostAdvanced, term, commitIndex);
            send(mostAdvanced, new TimeoutNow(self, term));
        }
    }

    /**
     * Replaces the entries up to an applied index with a snapshot.
     *
     * @param index the last index to include, which must have been returned by {@link #ready} as committed
     * @param state the encoded state at that index, not null
     * @return the snapshot to persist, not null
     * @throws IllegalArgumentException if the index was not delivered, or is already covered by a snapshot
     */
    public Snapshot compact(long index, byte[] state) {
        if (index > deliveredIndex || index <= log.snapshot().index()) {
            throw new IllegalArgumentException("cannot compact to index " + index + ": snapshot at "
                    + log.snapshot().index() + ", delivered through " + deliveredIndex);
        }
        Snapshot compacted = new Snapshot(index, log.termAt(index), List.copyOf(log.membersAt(index)), state);
        log.compactTo(compacted);
        return compacted;
    }

    /**
     * Processes a message from another member.
     *
     * @param message the message, not null
     */
    public void receive(RaftMessage message) {
        if (message instanceof JoinRequest request) {
            onJoinRequest(request);
            return;
        }
        boolean preVote = (message instanceof VoteRequest request && request.preVote())
                || (message instanceof VoteReply reply && reply.preVote());
        if (message.term() > term && !preVote) {
            becomeFollower(message.term(), null);
        }
        if (message instanceof VoteRequest request) {
            onVoteRequest(request);
        } else if (message instanceof VoteReply reply) {
            onVoteReply(reply);
        } else if (message instanceof AppendRequest request) {
            onAppendRequest(request);
        } else if (message instanceof AppendReply reply) {
            onAppendReply(reply);
        } else if (message instanceof SnapshotRequest request) {
            onSnapshotRequest(request);
        } else if (message instanceof TimeoutNow request && request.term() == term && isVoter(self)) {
            startElection(false);
        }
    }

    /**
     * Returns and clears the pending work since the last call.
     *
     * @return the state to persist, the messages to send and the entries to apply, not null
     */
    public Ready ready() {
        List<LogEntry> committed = log.entriesBetween(deliveredIndex + 1, commitIndex);
        Ready ready = outbox.drain(new Vote(term, votedFor), commitIndex, committed);
        deliveredIndex = commitIndex;
        return ready;
    }

    // ---- Elections

    private void startElection(boolean preVote) {
        restartElectionTimer();
        leader = null;
        votes.clear();
        votes.add(self);
        if (preVote) {
            role = Role.PRE_CANDIDATE;
        } else {
            role = Role.CANDIDATE;
            term++;
            votedFor = self;
            outbox.voteChanged();
        }
        long requestedTerm = preVote ? term + 1 : term;
        for (Member peer : peers()) {
            send(peer, new VoteRequest(self, requestedTerm, preVote, log.lastIndex(), log.lastTerm()));
        }
        countVotes();
    }

    private void onVoteRequest(VoteRequest request) {
        boolean upToDate = request.lastTerm() > log.lastTerm()
                || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
        if (request.preVote()) {
            boolean leaderSilent = clock.millis() - lastLeaderContactMillis >= settings.electionTimeoutMillis();
            boolean granted = upToDate && request.term() > term && leaderSilent && role != Role.LEADER;
            send(request.from(), new VoteReply(self, granted ? request.term() : term, true, granted));
            return;
        }
        boolean canVote = votedFor == null || votedFor.equals(request.from());
        boolean granted = request.term() == term && canVote && upToDate;
        if (granted && votedFor == null) {
            votedFor = request.from();
            outbox.voteChanged();
        }
        if (granted) {
            restartElectionTimer();
        }
        send(request.from(), new VoteReply(self, term, false, granted));
    }

    private void onVoteReply(VoteReply reply) {
        if (reply.preVote() && !reply.granted() && reply.term() > term) {
            becomeFollower(reply.term(), null);
            return;
        }
        boolean expected = reply.preVote()
                ? role == Role.PRE_CANDIDATE && reply.term() == term + 1
                : role == Role.CANDIDATE && reply.term() == term;
        if (expected && reply.granted()) {
            votes.add(reply.from());
            countVotes();
        }
    }

    private void countVotes() {
        if (!isMajority(votes)) {
            return;
        }
        if (role == Role.PRE_CANDIDATE) {
            startElection(false);
        } else if (role == Role.CANDIDATE) {
            becomeLeader();
        }
    }

    private void becomeLeader() {
        role = Role.LEADER;
        leader = self;
        hasSeenLeader = true;
        membershipChanges.reset();
        long now = clock.millis();
        progress.reset(peers(), log.lastIndex() + 1, now);
        nextHeartbeatMillis = now + settings.heartbeatMillis();
        appendAsLeader(new byte[0], null);
    }

    private void becomeFollower(long newTerm, Member newLeader) {
        if (newTerm > term) {
            term = newTerm;
            votedFor = null;
            outbox.voteChanged();
        }
        if (role != Role.FOLLOWER) {
            restartElectionTimer();
        }
        role = Role.FOLLOWER;
        leader = newLeader;
        membershipChanges.reset();
    }

    /**
     * Restarts the timer with a random timeout. The timeout is shorter until the first contact with a leader; pre-votes
     * keep a restarted member from disrupting an existing leader.
     */
    private void restartElectionTimer() {
        long timeout = settings.electionTimeoutMillis();
        long minTimeout = hasSeenLeader ? timeout : Math.max(1, timeout / INITIAL_ELECTION_TIMEOUT_DIVISOR);
        electionDeadlineMillis = clock.millis() + minTimeout + random.nextLong(minTimeout);
    }

    // ---- Replication, leader

    private void tickLeader(long now) {
        if (!hasQuorumContact(now)) {
            becomeFollower(term, null);
            return;
        }
        if (now >= nextHeartbeatMillis) {
            nextHeartbeatMillis = now + settings.heartbeatMillis();
            forEachReplica(peer -> replicator.replicateOrHeartbeat(peer, term, commitIndex));
            changeMembers(now);
        }
    }

    private boolean hasQuorumContact(long now) {
        Set<Member> contacts = progress.contactedAfter(now - settings.electionTimeoutMillis());
        contacts.add(self);
        return isMajority(contacts);
    }

    private void appendAsLeader(byte[] command, List<Member> members) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, command, members);
        log.append(entry);
        outbox.store(entry);
        replicateToAll();
        advanceCommit();
    }

    private void replicateToAll() {
        forEachReplica(peer -> replicator.replicate(peer, term, commitIndex));
    }

    /** Performs an action for every other voting member and the learner. */
    private void forEachReplica(Consumer<Member> action) {
        peers().forEach(action);
        membershipChanges.learner().ifPresent(action);
    }

    private void onAppendReply(AppendReply reply) {
        FollowerProgress follower = progress.find(reply.from()).orElse(null);
        if (role != Role.LEADER || reply.term() != term || follower == null) {
            return;
        }
        follower.recordContact(clock.millis());
        if (reply.accepted()) {
            follower.recordMatch(reply.matchIndex());
            advanceCommit();
            replicator.replicate(reply.from(), term, commitIndex);
        } else {
            replicator.onRejected(reply, term, commitIndex);
        }
        // A box that waits to join must not wait for the next heartbeat between the steps of its admission.
        if (role == Role.LEADER && membershipChanges.learner().isPresent()) {
            changeMembers(clock.millis());
        }
    }

    private void advanceCommit() {
        for (long index = log.lastIndex(); index > commitIndex && log.termAt(index) == term; index--) {
            Set<Member> replicas = progress.membersHolding(index);
            replicas.add(self);
            if (isMajority(replicas)) {
                commitIndex = index;
                stepDownIfRemoved();
                return;
            }
        }
    }

    private void stepDownIfRemoved() {
        boolean removed = !isVoter(self) && log.membersAt(commitIndex).equals(members());
        if (removed) {
            becomeFollower(term, null);
        }
    }

    // ---- Replication, follower

    private void onAppendRequest(AppendRequest request) {
        if (rejectIfStale(request)) {
            return;
        }
        acceptLeader(request.from());
        long previous = request.previousIndex();
        boolean matches = previous <= commitIndex || log.matches(previous, request.previousTerm());
        if (!matches) {
            long lastPossibleMatch = Math.min(log.lastIndex(), previous - 1);
            send(request.from(), new AppendReply(self, term, false, Math.max(lastPossibleMatch, commitIndex)));
            return;
        }
        request.entries().forEach(this::appendAsFollower);
        long matchIndex = Math.max(previous + request.entries().size(), commitIndex);
        commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), matchIndex));
        if (commitIndex >= request.commitIndex()) {
            lastCaughtUpMillis = clock.millis();
        }
        send(request.from(), new AppendReply(self, term, true, matchIndex));
    }

    private void appendAsFollower(LogEntry entry) {
        if (entry.index() <= commitIndex || log.termAt(entry.index()) == entry.term()) {
            return;
        }
        if (log.contains(entry.index())) {
            log.truncateFrom(entry.index());
            outbox.truncateFrom(entry.index());
        }
        log.append(entry);
        outbox.store(entry);
    }

    private void onSnapshotRequest(SnapshotRequest request) {
        if (rejectIfStale(request)) {
            return;
        }
        acceptLeader(request.from());
        Snapshot snapshot = request.snapshot();
        if (log.matches(snapshot.index(), snapshot.term())) {
            // The log already contains the snapshot's last entry; entries after it may have been acknowledged.
            commitIndex = Math.max(commitIndex, snapshot.index());
        } else if (snapshot.index() > commitIndex) {
            log.resetTo(snapshot);
            outbox.installSnapshot(snapshot);
            commitIndex = snapshot.index();
            deliveredIndex = snapshot.index();
        }
        send(request.from(), new AppendReply(self, term, true, commitIndex));
    }

    /** Rejects a message from an earlier term; returns true if the message was rejected. */
    private boolean rejectIfStale(RaftMessage message) {
        if (message.term() >= term) {
            return false;
        }
        send(message.from(), new AppendReply(self, term, false, log.lastIndex()));
        return true;
    }

    private void acceptLeader(Member from) {
        becomeFollower(term, from);
        lastLeaderContactMillis = clock.millis();
        hasSeenLeader = true;
        restartElectionTimer();
    }

    // ---- Membership

    private void onJoinRequest(JoinRequest request) {
        if (role != Role.LEADER) {
            passOn(request);
            return;
        }
        Member joining = request.from();
        MembershipEvent.Kind decision = decideJoin(joining);
        report(decision, joining);
        if (decision == MembershipEvent.Kind.JOIN_ACCEPTED) {
            membershipChanges.addLearner(joining, log.lastIndex() + 1, clock.millis());
            replicator.replicateOrHeartbeat(joining, term, commitIndex);
        }
    }

    /** Passes a join request on to the leader; only once, so that requests do not circulate during elections. */
    private void passOn(JoinRequest request) {
        Member joining = request.from();
        if (isVoter(joining)) {
            // Members without a leader ask to join, too, in case they have been removed.
            return;
        }
        if (leader == null || request.isPassedOn()) {
            report(MembershipEvent.Kind.JOIN_WITHOUT_LEADER, joining);
            return;
        }
        report(MembershipEvent.Kind.JOIN_PASSED_ON, joining);
        send(leader, request.passedOn(term));
    }

    private MembershipEvent.Kind decideJoin(Member joining) {
        if (isVoter(joining)) {
            return MembershipEvent.Kind.JOIN_BY_MEMBER;
        }
        if (membershipChanges.learner().isPresent()) {
            return MembershipEvent.Kind.JOIN_WHILE_ANOTHER_JOINS;
        }
        return admissionPolicy.test(joining)
                ? MembershipEvent.Kind.JOIN_ACCEPTED
                : MembershipEvent.Kind.JOIN_NOT_PERMITTED;
    }

    private void report(MembershipEvent.Kind kind, Member member) {
        membershipChanges.report(kind, member, members(), clock.millis());
    }

    /** Proposes the next membership change, unless the previous one is not yet committed. */
    private void changeMembers(long now) {
        membershipChanges.updateLearner(members(), now);
        boolean changePending = !log.membersAt(commitIndex).equals(members());
        if (changePending || !isEstablishedLeader()) {
            return;
        }
        membershipChanges
                .nextAdmission(members(), log.membersBeforeLatestChange(), peers(), commitIndex, now)
                .or(() -> membershipChanges.nextRemoval(members(), peers(), now))
                .ifPresent(members -> appendAsLeader(new byte[0], members));
    }

    private boolean isVoter(Member member) {
        return members().contains(member);
    }

    private boolean isMajority(Set<Member> supporters) {
        List<Member> members = members();
        long count = members.stream().filter(supporters::contains).count();
        return count > members.size() / 2;
    }

    private List<Member> peers() {
        return members().stream().filter(member -> !member.equals(self)).toList();
    }

    private void send(Member to, RaftMessage message) {
        outbox.send(to, message);
    }

    @Override
    public String toString() {
        return "RaftNode[" + self.box() + " " + role + " term " + term + " committed " + commitIndex + "]";
    }
}
