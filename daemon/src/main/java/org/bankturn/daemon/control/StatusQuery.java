package org.bankturn.daemon.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bankturn.configuration.Configuration;
import org.bankturn.membership.ProcessReport;
import org.bankturn.membership.ReportTable;
import org.bankturn.state.ReplicatedState;
import org.bankturn.state.query.ShowReply;
import org.bankturn.state.query.StatusReply;
import org.bankturn.time.Clock;

/**
 * Answers operators' queries from the applied state of the leader and the reports that it has received.
 *
 * <p>StatusQuery is confined to the control member's thread.
 */
final class StatusQuery {
    private final String process;
    private final ControlMember member;
    private final ReportTable reports;
    private final Clock clock;
    private final Map<String, Long> behindSinceMillis = new HashMap<>();

    StatusQuery(String process, ControlMember member, ReportTable reports, Clock clock) {
        this.process = process;
        this.member = member;
        this.reports = reports;
        this.clock = clock;
    }

    StatusReply status(ReplicatedState state) {
        ControlMember.View view = member.view();
        Configuration configuration = state.configuration();
        List<StatusReply.ProcessStatus> processes = reports.all().stream()
                .sorted(Comparator.comparing(received -> received.report().process()))
                .map(received -> processStatus(received, configuration))
                .toList();
        return new StatusReply(
                process,
                view.leader() == null ? null : view.leader().box(),
                view.term(),
                view.members().stream()
                        .map(each -> each.box() + "#" + each.incarnation())
                        .toList(),
                configuration.index(),
                configuration.digest(),
                configuration.inService(),
                state.originCopies(),
                state.claimCount(),
                processes);
    }

    ShowReply history(ReplicatedState state) {
        Configuration configuration = state.configuration();
        return new ShowReply(configuration.index(), configuration.digest(), state.history(), configuration.inService());
    }

    private StatusReply.ProcessStatus processStatus(ReportTable.Received received, Configuration configuration) {
        ProcessReport report = received.report();
        long now = clock.millis();
        boolean behind = report.configurationIndex() < configuration.index();
        long behindSince = behind ? behindSinceMillis.computeIfAbsent(report.process(), name -> now) : now;
        if (!behind) {
            behindSinceMillis.remove(report.process());
        }
        return new StatusReply.ProcessStatus(
                report.process(),
                report.role(),
                report.dataHall(),
                report.configurationIndex(),
                now - behindSince,
                now - received.receivedMillis(),
                report.loaded(),
                report.note(),
                report.leaving());
    }
}
