package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
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
 * One member of an agreement group: an ordered log of commands that a majority has synced.
 *
 * <p>Use it to keep state on a few boxes with disks. Call {@link #tick}, {@link #receive} or {@link #propose}, then take
 * {@link #ready} and do what it says in its order; there is no I/O in here. Members change one at a time: a box that
 * lost its disk asks to join as a new member, copies the log without a vote, then takes the place of the member it was.
 *
 * <p>RaftNode is mutable and not thread-safe; one thread owns it.
 */
public final class RaftNode {
    private static final int FIRST_ELECTION_DIVISOR = 4;

    private final Member self;
    private final Clock clock;
    private final UniformRandomProvider random;
    private final RaftSettings settings;
    private final Predicate<Member> admissible;
    private final RaftLog log;

    private Role role = Role.FOLLOWER;
    private long term;
    private Member votedFor;
    private Member leader;
    private long commitIndex;
    private long electionDeadlineMillis;
    private long leaderHeardMillis = Long.MIN_VALUE / 2;
    private long caughtUpMillis = Long.MIN_VALUE / 2;
    private long heartbeatDueMillis;
    private boolean everHeardLeader;
    private final Set<Member> votes = new HashSet<>();
    private final ProgressTracker replications = new ProgressTracker();
    private final MembershipChanges changes;
    private final Outbox outbox = new Outbox();
    private long handedOutIndex;

    /**
     * Creates a member from what its storage holds; the first {@link #ready} hands out what was known to be committed.
     *
     * @param self this member, not null
     * @param stored what storage recovered, not null
     * @param settings timing and sizes, not null
     * @param clock the time, not null
     * @param random spreads election timeouts, not null
     * @param admissible which boxes a leader may admit when they ask to join, not null
     * @return a follower, not null
     */
    public static RaftNode recover(
            Member self,
            PersistentState stored,
            RaftSettings settings,
            Clock clock,
            UniformRandomProvider random,
            Predicate<Member> admissible) {
        return new RaftNode(self, stored, settings, clock, random, admissible);
    }

    private RaftNode(
            Member self,
            PersistentState stored,
            RaftSettings settings,
            Clock clock,
            UniformRandomProvider random,
            Predicate<Member> admissible) {
        this.self = self;
        this.settings = settings;
        this.clock = clock;
        this.random = random;
        this.admissible = admissible;
        this.changes = new MembershipChanges(settings, replications);
        this.log = new RaftLog(stored.snapshot(), stored.entries());
        this.term = stored.vote().term();
        this.votedFor = stored.vote().votedFor();
        this.commitIndex = Math.max(log.snapshot().index(), Math.min(stored.commitIndex(), log.lastIndex()));
        this.handedOutIndex = log.snapshot().index();
        restartElectionTimer();
    }

    // ---- queries

    /** Returns this member, not null. */
    public Member self() {
        return self;
    }

    /** Returns this member's role, not null. */
    public Role role() {
        return role;
    }

    /** Returns the newest term this member has seen. */
    public long term() {
        return term;
    }

    /** Returns the leader of this term as far as known, not null. */
    public Optional<Member> leader() {
        return Optional.ofNullable(leader);
    }

    /** Returns the members as of the last entry of the log, not null. */
    public List<Member> members() {
        return log.membersAt(log.lastIndex());
    }

    /** Returns the index up to which entries are committed, as far as known here. */
    public long commitIndex() {
        return commitIndex;
    }

    /** Returns the index of the last entry of the log. */
    public long lastIndex() {
        return log.lastIndex();
    }

    /** Returns the snapshot that the log starts from, not null. */
    public Snapshot snapshot() {
        return log.snapshot();
    }

    /** Returns true if this member leads and has committed an entry of its own term, so that its state is current. */
    public boolean isEstablishedLeader() {
        return role == Role.LEADER && log.termAt(commitIndex) == term;
    }

    /**
     * Returns when this member last held all that its leader had committed, or as leader last heard from a majority.
     *
     * <p>A member that hears its leader but lacks entries, as after it was down, is not current.
     */
    public long lastUpToDateMillis() {
        if (role != Role.LEADER) {
            return caughtUpMillis;
        }
        List<Long> heard = new ArrayList<>();
        peers().forEach(peer -> heard.add(replications.lastContactMillis(peer)));
        heard.add(clock.millis());
        heard.sort((one, other) -> Long.compare(other, one));
        return heard.get(members().size() / 2);
    }

    // ---- steps

    /** Lets time pass: starts elections, sends heartbeats, steps down without a majority. */
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
     * Asks the given members to admit this one, which has an empty disk.
     *
     * @param contacts where to ask; incarnations are ignored, not null
     */
    public void requestJoin(List<Member> contacts) {
        for (Member contact : contacts) {
            send(contact, new JoinRequest(self, 0));
        }
    }

    /**
     * Puts a command into the log.
     *
     * @param command the encoded command, not null
     * @return the index it was given, empty if this member does not lead; it is accepted only when {@link Ready}
     *     hands it out as committed with the same term
     */
    public OptionalLong propose(byte[] command) {
        if (role != Role.LEADER) {
            return OptionalLong.empty();
        }
        appendAsLeader(command, null);
        return OptionalLong.of(log.lastIndex());
    }

    /** Hands leadership to the member that is furthest, ahead of a planned stop; does nothing if not leading. */
    public void transferLeadership() {
        if (role != Role.LEADER) {
            return;
        }
        Member furthest = null;
        for (Member member : peers()) {
            if (furthest == null || replications.matchIndex(member) > replications.matchIndex(furthest)) {
                furthest = member;
            }
        }
        if (furthest != null) {
            sendAppend(furthest);
            send(furthest, new TimeoutNow(self, term));
        }
    }

    /**
     * Replaces the entries up to an applied index by a snapshot.
     *
     * @param index the index, committed and handed out
     * @param state the encoded state at that index, not null
     * @return the snapshot to store, not null
     */
    public Snapshot compact(long index, byte[] state) {
        if (index > handedOutIndex || index <= log.snapshot().index()) {
            throw new IllegalArgumentException("cannot compact to " + index + ", handed out " + handedOutIndex);
        }
        Snapshot newer = new Snapshot(index, log.termAt(index), List.copyOf(log.membersAt(index)), state);
        log.compactTo(newer);
        return newer;
    }

    /**
     * Takes in a message.
     *
     * @param message the message, not null
     */
    public void receive(RaftMessage message) {
        if (message instanceof JoinRequest request) {
            onJoinRequest(request);
            return;
        }
        boolean trial = (message instanceof VoteRequest request && request.preVote())
                || (message instanceof VoteReply reply && reply.preVote());
        if (message.term() > term && !trial) {
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
     * Takes what must be done after the steps since the last call.
     *
     * @return what to store, send and apply, not null
     */
    public Ready ready() {
        List<LogEntry> committed = log.entriesBetween(handedOutIndex + 1, commitIndex);
        Ready ready = outbox.drain(new Vote(term, votedFor), commitIndex, committed);
        handedOutIndex = commitIndex;
        return ready;
    }

    // ---- elections

    private void startElection(boolean trial) {
        restartElectionTimer();
        leader = null;
        votes.clear();
        votes.add(self);
        if (trial) {
            role = Role.PRE_CANDIDATE;
        } else {
            role = Role.CANDIDATE;
            term++;
            votedFor = self;
            outbox.voteChanged();
        }
        long asked = trial ? term + 1 : term;
        for (Member peer : peers()) {
            send(peer, new VoteRequest(self, asked, trial, log.lastIndex(), log.lastTerm()));
        }
        countVotes();
    }

    private void onVoteRequest(VoteRequest request) {
        boolean upToDate = request.lastTerm() > log.lastTerm()
                || (request.lastTerm() == log.lastTerm() && request.lastIndex() >= log.lastIndex());
        if (request.preVote()) {
            boolean leaderSilent = clock.millis() - leaderHeardMillis >= settings.electionTimeoutMillis();
            boolean granted = upToDate && request.term() > term && leaderSilent && role != Role.LEADER;
            send(request.from(), new VoteReply(self, granted ? request.term() : term, true, granted));
            return;
        }
        boolean free = votedFor == null || votedFor.equals(request.from());
        boolean granted = request.term() == term && free && upToDate;
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
        boolean awaited = reply.preVote()
                ? role == Role.PRE_CANDIDATE && reply.term() == term + 1
                : role == Role.CANDIDATE && reply.term() == term;
        if (awaited && reply.granted()) {
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
        everHeardLeader = true;
        changes.reset();
        long now = clock.millis();
        replications.reset(peers(), log.lastIndex() + 1, now);
        heartbeatDueMillis = now + settings.heartbeatMillis();
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
        changes.reset();
    }

    /** A member that has heard of no leader since it started asks soon: who knows of one will deny it a trial vote. */
    private void restartElectionTimer() {
        long timeout = settings.electionTimeoutMillis();
        long shortest = everHeardLeader ? timeout : Math.max(1, timeout / FIRST_ELECTION_DIVISOR);
        electionDeadlineMillis = clock.millis() + shortest + random.nextLong(shortest);
    }

    // ---- replication, on the leader

    private void tickLeader(long now) {
        if (!heardFromMajority(now)) {
            becomeFollower(term, null);
            return;
        }
        if (now >= heartbeatDueMillis) {
            heartbeatDueMillis = now + settings.heartbeatMillis();
            replicateToAll();
            changeMembers(now);
        }
    }

    private boolean heardFromMajority(long now) {
        Set<Member> heard = replications.contactedAfter(now - settings.electionTimeoutMillis());
        heard.add(self);
        return isMajority(heard);
    }

    private void appendAsLeader(byte[] command, List<Member> members) {
        LogEntry entry = new LogEntry(log.lastIndex() + 1, term, command, members);
        log.append(entry);
        outbox.store(entry);
        replicateToAll();
        advanceCommit();
    }

    private void replicateToAll() {
        for (Member peer : peers()) {
            sendAppend(peer);
        }
        changes.learner().ifPresent(this::sendAppend);
    }

    private void sendAppend(Member to) {
        FollowerProgress replication = replications.findOrTrack(to, log.lastIndex() + 1, clock.millis());
        if (replication.nextIndex() <= log.snapshot().index()) {
            sendSnapshot(to, replication);
            return;
        }
        long previous = replication.nextIndex() - 1;
        long last = previous + settings.maxBatchEntries();
        List<LogEntry> entries = log.entriesBetween(replication.nextIndex(), last);
        send(to, new AppendRequest(self, term, previous, log.termAt(previous), entries, commitIndex));
        replication.recordSent(previous + entries.size());
    }

    private void sendSnapshot(Member to, FollowerProgress replication) {
        long now = clock.millis();
        if (now - replication.snapshotSentMillis() >= settings.electionTimeoutMillis()
                || replication.snapshotSentMillis() == Long.MIN_VALUE) {
            replication.recordSnapshotSent(now);
            send(to, new SnapshotRequest(self, term, log.snapshot()));
        }
    }

    private void onAppendReply(AppendReply reply) {
        FollowerProgress replication = replications.find(reply.from()).orElse(null);
        if (role != Role.LEADER || reply.term() != term || replication == null) {
            return;
        }
        replication.recordContact(clock.millis());
        if (!reply.accepted()) {
            replication.rewindTo(reply.matchIndex() + 1);
            sendAppend(reply.from());
            return;
        }
        replication.recordMatch(reply.matchIndex());
        advanceCommit();
        if (replication.nextIndex() <= log.lastIndex()) {
            sendAppend(reply.from());
        }
    }

    private void advanceCommit() {
        for (long index = log.lastIndex(); index > commitIndex && log.termAt(index) == term; index--) {
            Set<Member> holders = replications.membersHolding(index);
            holders.add(self);
            if (isMajority(holders)) {
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

    // ---- replication, on a follower

    private void onAppendRequest(AppendRequest request) {
        if (isOutdated(request)) {
            return;
        }
        followLeader(request.from());
        long previous = request.previousIndex();
        boolean agrees = previous <= commitIndex || log.matches(previous, request.previousTerm());
        if (!agrees) {
            long hint = Math.min(log.lastIndex(), previous - 1);
            send(request.from(), new AppendReply(self, term, false, Math.max(hint, commitIndex)));
            return;
        }
        request.entries().forEach(this::storeAsFollower);
        long matched = Math.max(previous + request.entries().size(), commitIndex);
        commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), matched));
        if (commitIndex >= request.commitIndex()) {
            caughtUpMillis = clock.millis();
        }
        send(request.from(), new AppendReply(self, term, true, matched));
    }

    private void storeAsFollower(LogEntry entry) {
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
        if (isOutdated(request)) {
            return;
        }
        followLeader(request.from());
        Snapshot snapshot = request.snapshot();
        if (log.matches(snapshot.index(), snapshot.term())) {
            // this log leads there and may lead further: what follows may have been acknowledged
            commitIndex = Math.max(commitIndex, snapshot.index());
        } else if (snapshot.index() > commitIndex) {
            log.resetTo(snapshot);
            outbox.installSnapshot(snapshot);
            commitIndex = snapshot.index();
            handedOutIndex = snapshot.index();
        }
        send(request.from(), new AppendReply(self, term, true, commitIndex));
    }

    /** Tells the sender of a message of an earlier term so; returns true if that is all there is to do. */
    private boolean isOutdated(RaftMessage message) {
        if (message.term() >= term) {
            return false;
        }
        send(message.from(), new AppendReply(self, term, false, log.lastIndex()));
        return true;
    }

    private void followLeader(Member from) {
        becomeFollower(term, from);
        leaderHeardMillis = clock.millis();
        everHeardLeader = true;
        restartElectionTimer();
    }

    // ---- members

    private void onJoinRequest(JoinRequest request) {
        boolean free = changes.learner().isEmpty() && !isVoter(request.from());
        if (role == Role.LEADER && free && admissible.test(request.from())) {
            changes.addLearner(request.from(), log.lastIndex() + 1, clock.millis());
            sendAppend(request.from());
        }
    }

    /** Admits a joiner or removes a silent member, one step at a time, each committed before the next. */
    private void changeMembers(long now) {
        changes.updateLearner(members(), now);
        boolean changing = !log.membersAt(commitIndex).equals(members());
        if (changing || !isEstablishedLeader()) {
            return;
        }
        changes.nextAdmission(members(), commitIndex)
                .or(() -> changes.nextRemoval(members(), peers(), now))
                .ifPresent(changed -> appendAsLeader(new byte[0], changed));
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
        return "Agreement[" + self.box() + " " + role + " term " + term + " committed " + commitIndex + "]";
    }
}
