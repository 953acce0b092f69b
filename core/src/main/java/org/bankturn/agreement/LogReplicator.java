package org.bankturn.agreement;

import java.util.ArrayList;
import java.util.List;
import org.bankturn.agreement.RaftMessage.AppendReply;
import org.bankturn.agreement.RaftMessage.AppendRequest;
import org.bankturn.agreement.RaftMessage.SnapshotRequest;
import org.bankturn.time.Clock;

/**
 * Sends a leader's log to the other members, a bounded number of bytes at a time to each.
 *
 * <p>Heartbeats without entries keep the contact while entries or a snapshot are under way, so that a member on a slow link
 * does not count as silent.
 *
 * <p>LogReplicator is mutable and owned by one {@link RaftNode}.
 */
final class LogReplicator {
    private static final int HEARTBEATS_UNTIL_LOST = 2;

    /** The part of the bytes under way, as a divisor, up to which messages are sent without waiting for the last one. */
    private static final int PIPELINED_PART = 8;

    private final Member self;
    private final RaftSettings settings;
    private final RaftLog log;
    private final ProgressTracker progress;
    private final Outbox outbox;
    private final Clock clock;

    LogReplicator(
            Member self, RaftSettings settings, RaftLog log, ProgressTracker progress, Outbox outbox, Clock clock) {
        this.self = self;
        this.settings = settings;
        this.log = log;
        this.progress = progress;
        this.outbox = outbox;
        this.clock = clock;
    }

    /** Sends the entries that a member lacks, as far as the bound on the bytes under way permits. */
    void replicate(Member to, long term, long commitIndex) {
        send(to, term, commitIndex);
    }

    /** Sends the entries that a member lacks, or a heartbeat if there are none or too many under way. */
    void replicateOrHeartbeat(Member to, long term, long commitIndex) {
        if (!send(to, term, commitIndex)) {
            sendHeartbeat(to, term, commitIndex);
        }
    }

    /** Processes a rejection of this term. */
    void onRejected(AppendReply reply, long term, long commitIndex) {
        FollowerProgress follower = progress.findOrTrack(reply.from(), log.lastIndex() + 1, clock.millis());
        long wanted = reply.matchIndex() + 1;
        boolean rewound = follower.rewindTo(wanted);
        if (!rewound && follower.isUnderWay() && isPipelined(follower)) {
            follower.resendFrom(wanted);
            rewound = true;
        }
        if (rewound) {
            replicate(reply.from(), term, commitIndex);
        }
    }

    /** Returns true if entries, or a check of the follower's position, were sent. */
    private boolean send(Member to, long term, long commitIndex) {
        long now = clock.millis();
        FollowerProgress follower = progress.findOrTrack(to, log.lastIndex() + 1, now);
        follower.rewindIfLost(now);
        if (follower.nextIndex() <= log.snapshot().index()) {
            sendSnapshot(to, term, follower, now);
            return false;
        }
        List<LogEntry> entries = nextEntries(follower);
        if (entries.isEmpty() && !follower.mustProbe()) {
            return false;
        }
        long previous = follower.nextIndex() - 1;
        outbox.send(to, new AppendRequest(self, term, previous, log.termAt(previous), entries, commitIndex));
        long last = previous + entries.size();
        follower.recordSent(last, now + millisUntilLost(log.bytesBetween(follower.firstUnderWay(), last)));
        return true;
    }

    /** Returns the next entries within the bound on the bytes under way; an entry above the bound is sent alone. */
    private List<LogEntry> nextEntries(FollowerProgress follower) {
        List<LogEntry> entries = new ArrayList<>();
        if (!isPipelined(follower)) {
            return entries;
        }
        long bytes = bytesUnderWay(follower);
        long index = follower.nextIndex();
        while (log.contains(index) && entries.size() < settings.maxBatchEntries()) {
            LogEntry entry = log.entryAt(index);
            bytes += entry.sizeBytes();
            if (bytes > settings.maxBytesUnderWay() && index > follower.firstUnderWay()) {
                break;
            }
            entries.add(entry);
            index++;
        }
        return entries;
    }

    /**
     * Returns true if so little is under way that more may be sent before it is acknowledged. A large message may be
     * overtaken by a small one, which the follower would reject.
     */
    private boolean isPipelined(FollowerProgress follower) {
        return bytesUnderWay(follower) <= settings.maxBytesUnderWay() / PIPELINED_PART;
    }

    private long bytesUnderWay(FollowerProgress follower) {
        return log.bytesBetween(follower.firstUnderWay(), follower.nextIndex() - 1);
    }

    private void sendSnapshot(Member to, long term, FollowerProgress follower, long now) {
        if (follower.maySendSnapshot(now)) {
            Snapshot snapshot = log.snapshot();
            follower.recordSnapshotSent(
                    snapshot.index(),
                    now + settings.electionTimeoutMillis() + settings.transferMillis(snapshot.state().length));
            outbox.send(to, new SnapshotRequest(self, term, snapshot));
        }
    }

    /** Sends a message without entries at a position that the member is known to hold. */
    private void sendHeartbeat(Member to, long term, long commitIndex) {
        long match = progress.matchIndex(to);
        long known = log.termAt(match) >= 0 ? match : 0;
        outbox.send(to, new AppendRequest(self, term, known, Math.max(0, log.termAt(known)), List.of(), commitIndex));
    }

    private long millisUntilLost(long bytesUnderWay) {
        return HEARTBEATS_UNTIL_LOST * settings.heartbeatMillis() + settings.transferMillis(bytesUnderWay);
    }
}
