package org.bankturn.daemon.entry;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.bankturn.admission.FairAdmission;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.daemon.control.ControlClient;
import org.bankturn.daemon.observe.Telemetry;
import org.bankturn.daemon.settings.DaemonSettings.EntrySettings;
import org.bankturn.membership.TargetView;
import org.bankturn.routing.RetryBudget;
import org.bankturn.routing.TargetLoad;
import org.bankturn.time.Clock;

/**
 * What the worker threads of an entry process share.
 *
 * <p>EntryState is thread-safe.
 *
 * @param dataHall the process's hall, not null
 * @param settings the entry role's settings, not null
 * @param holder what is in force, not null
 * @param targets what is known of targets, not null
 * @param loads the load of each target as seen here, not null
 * @param admission which requests are taken on, not null
 * @param retryBudget how many retries are left, not null
 * @param control the control boxes, not null
 * @param telemetry metrics and traces, not null
 * @param clock the time, not null
 */
record EntryState(
        String dataHall,
        EntrySettings settings,
        ConfigurationHolder holder,
        TargetView targets,
        Map<String, TargetLoad> loads,
        FairAdmission admission,
        RetryBudget retryBudget,
        ControlClient control,
        Telemetry telemetry,
        Clock clock) {
    private static final int RETRY_BURST = 20;
    private static final long RETRY_WINDOW_MILLIS = 10_000;

    static EntryState of(
            String dataHall,
            EntrySettings settings,
            ConfigurationHolder holder,
            ControlClient control,
            Telemetry telemetry,
            Clock clock) {
        return new EntryState(
                dataHall,
                settings,
                holder,
                TargetView.using(clock),
                new ConcurrentHashMap<>(),
                new FairAdmission(),
                RetryBudget.of(settings.retryPercent() / 100.0, RETRY_BURST, RETRY_WINDOW_MILLIS, clock),
                control,
                telemetry,
                clock);
    }

    TargetLoad loadOf(String box) {
        return loads.computeIfAbsent(box, name -> new TargetLoad());
    }
}
