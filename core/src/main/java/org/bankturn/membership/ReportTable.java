package org.bankturn.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.bankturn.time.Clock;

/**
 * The latest report of each process and the time it was received.
 *
 * <p>ReportTable is thread-safe.
 */
public final class ReportTable {
    /** The age at which a report becomes stale. */
    public static final long STALE_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, Received> newest = new ConcurrentHashMap<>();

    /**
     * A report and the time it was received.
     *
     * @param report the report, not null
     * @param receivedMillis the time at which it was received
     */
    public record Received(ProcessReport report, long receivedMillis) {}

    /**
     * Creates an empty table.
     *
     * @param clock the clock, not null
     * @return the table, not null
     */
    public static ReportTable using(Clock clock) {
        return new ReportTable(clock);
    }

    private ReportTable(Clock clock) {
        this.clock = clock;
    }

    /**
     * Adds reports; outdated reports are ignored.
     *
     * @param reports the reports, not null
     */
    public void receive(Collection<ProcessReport> reports) {
        long now = clock.millis();
        for (ProcessReport report : reports) {
            newest.compute(
                    report.process(),
                    (name, held) ->
                            held == null || report.isNewerThan(held.report()) ? new Received(report, now) : held);
        }
    }

    /** Returns all reports, not null. */
    public List<Received> all() {
        return new ArrayList<>(newest.values());
    }

    /**
     * Returns the reports received recently.
     *
     * @param withinMillis the maximum age
     * @return the reports, not null
     */
    public List<ProcessReport> receivedWithin(long withinMillis) {
        long since = clock.millis() - withinMillis;
        return newest.values().stream()
                .filter(received -> received.receivedMillis() >= since)
                .map(Received::report)
                .toList();
    }

    /** Returns the processes whose latest report is stale, not null. */
    public Set<String> staleProcesses() {
        long since = clock.millis() - STALE_MILLIS;
        return newest.values().stream()
                .filter(received -> received.receivedMillis() < since)
                .map(received -> received.report().process())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the number of processes that serve a version and are not leaving, ignoring stale reports.
     *
     * @param manifest the manifest of the version, not null
     * @param names the processes to count, not null
     * @return the number of processes
     */
    public int countLoaded(String manifest, Collection<String> names) {
        return (int) receivedWithin(STALE_MILLIS).stream()
                .filter(report -> names.contains(report.process()))
                .filter(report -> !report.leaving() && report.loaded().contains(manifest))
                .count();
    }
}
