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
 * The newest report of every process, with when it came.
 *
 * <p>ReportTable is thread-safe.
 */
public final class ReportTable {
    /** A report older than this says nothing about now. */
    public static final long STALE_MILLIS = 10_000;

    private final Clock clock;
    private final Map<String, Received> newest = new ConcurrentHashMap<>();

    /**
     * A report and its age.
     *
     * @param report the report, not null
     * @param receivedMillis when it came
     */
    public record Received(ProcessReport report, long receivedMillis) {}

    /**
     * Creates an empty table.
     *
     * @param clock the time, not null
     * @return the table, not null
     */
    public static ReportTable using(Clock clock) {
        return new ReportTable(clock);
    }

    private ReportTable(Clock clock) {
        this.clock = clock;
    }

    /**
     * Takes in reports; older ones than those held are dropped.
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

    /** Returns every report held, not null. */
    public List<Received> all() {
        return new ArrayList<>(newest.values());
    }

    /**
     * Lists reports that came lately, to pass them on.
     *
     * @param withinMillis how lately
     * @return the reports, not null
     */
    public List<ProcessReport> receivedWithin(long withinMillis) {
        long since = clock.millis() - withinMillis;
        return newest.values().stream()
                .filter(received -> received.receivedMillis() >= since)
                .map(Received::report)
                .toList();
    }

    /** Returns the processes that were heard from once but not of late, not null. */
    public Set<String> staleProcesses() {
        long since = clock.millis() - STALE_MILLIS;
        return newest.values().stream()
                .filter(received -> received.receivedMillis() < since)
                .map(received -> received.report().process())
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Counts the processes that serve a version and are not leaving.
     *
     * @param manifest the version's manifest, not null
     * @param names the processes that count, not null
     * @return the number of fresh reports that say so
     */
    public int countLoaded(String manifest, Collection<String> names) {
        return (int) receivedWithin(STALE_MILLIS).stream()
                .filter(report -> names.contains(report.process()))
                .filter(report -> !report.leaving() && report.loaded().contains(manifest))
                .count();
    }
}
