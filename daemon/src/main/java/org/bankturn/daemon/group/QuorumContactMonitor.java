package org.bankturn.daemon.group;

import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.RaftSettings;
import org.bankturn.agreement.StaleConnectionPolicy;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.time.Clock;

/**
 * Has connections replaced while a member lacks contact to a majority, and logs the loss and the return of contact.
 *
 * <p>QuorumContactMonitor is confined to the member's thread.
 */
final class QuorumContactMonitor {
    private static final String GROUP = "group";

    private final RaftSettings settings;
    private final Clock clock;
    private final DecisionLog log;
    private final LongConsumer distrust;
    private boolean lost;

    /**
     * Returns a monitor that assumes contact, not null.
     *
     * @param settings the group's timing, not null
     * @param clock the clock, not null
     * @param log the decision log, not null
     * @param distrust called with a time; connections that received nothing after it are replaced, not null
     */
    static QuorumContactMonitor of(RaftSettings settings, Clock clock, DecisionLog log, LongConsumer distrust) {
        return new QuorumContactMonitor(settings, clock, log, distrust);
    }

    private QuorumContactMonitor(RaftSettings settings, Clock clock, DecisionLog log, LongConsumer distrust) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.distrust = distrust;
    }

    /** Checks the contact of a member; called after each of its steps. */
    void observe(RaftNode member) {
        long now = clock.millis();
        OptionalLong until = StaleConnectionPolicy.staleConnectionCutoffMillis(member, settings, now);
        // waiting for each connection's own timeout would prolong the time without a leader
        until.ifPresent(distrust);
        if (until.isPresent() != lost) {
            lost = until.isPresent();
            log.line(lost ? DecisionKind.LOST : DecisionKind.REGAINED)
                    .with(DecisionField.DEPENDENCY, GROUP)
                    .with(DecisionField.TERM, member.term())
                    .with(DecisionField.SILENT_MS, now - member.lastUpToDateMillis())
                    .write();
        }
    }
}
