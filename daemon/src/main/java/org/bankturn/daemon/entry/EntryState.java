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
 * State shared by the worker threads of an entry process.
 *
 * <p>EntryState is thread-safe.
 *
 * @param dataHall the data hall of the process, not null
 * @param settings the entry role's settings, not null
 * @param holder the current configuration, not null
 * @param targets the known state of the targets, not null
 * @param loads the load of each target as measured by this process, by box name, not null
 * @param admission decides which requests are admitted, not null
 * @param retryBudget limits the retries, not null
 * @param control the client of the control group, not null
 * @param telemetry records metrics and traces, not null
 * @param clock the time source, not null
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
