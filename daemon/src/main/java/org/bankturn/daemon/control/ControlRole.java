package org.bankturn.daemon.control;

import io.activej.promise.Promise;
import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.bankturn.agreement.Member;
import org.bankturn.agreement.RaftMessage;
import org.bankturn.agreement.RaftNode;
import org.bankturn.agreement.RaftSettings;
import org.bankturn.agreement.Snapshot;
import org.bankturn.configuration.Box;
import org.bankturn.configuration.Configuration;
import org.bankturn.configuration.ConfigurationHolder;
import org.bankturn.configuration.Model;
import org.bankturn.configuration.ModelVersion;
import org.bankturn.daemon.settings.Address;
import org.bankturn.daemon.settings.DaemonSettings;
import org.bankturn.daemon.settings.DaemonSettings.ControlBox;
import org.bankturn.daemon.wire.NodeClients;
import org.bankturn.daemon.wire.NodeReply;
import org.bankturn.daemon.wire.NodeRequest;
import org.bankturn.membership.ReportTable;
import org.bankturn.result.ResultCode;
import org.bankturn.state.command.Command;
import org.bankturn.state.command.CommandResult;
import org.bankturn.storage.FileSystemDirectory;
import org.bankturn.storage.RaftStorage;
import org.bankturn.time.Clock;

/**
 * The control role of a process: its member of the control group, and the periodic tasks of the leader.
 *
 * <p>ControlRole is thread-safe.
 */
public final class ControlRole {
    private static final Logger LOG = System.getLogger(ControlRole.class.getName());
    private static final long FIRST_INCARNATION = 1;
    private static final int BATCH_ENTRIES = 64;
    private static final long TASK_INTERVAL_MILLIS = 200;

    private final DaemonSettings settings;
    private final NodeClients clients;
    private final ReportTable reports;
    private final ConfigurationHolder holder;
    private final ControlMember member;
    private final StatusQuery statusQuery;
    private ScheduledFuture<?> periodicTask;
    private final ScheduledExecutorService scheduler =
            Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "control-decisions"));

    /**
     * Opens the data folder and creates the member.
     *
     * @param settings the process's settings, with the control role, not null
     * @param formsGroup true if this start forms a new control group
     * @param clients connections to other processes, not null
     * @param holder receives the configuration, not null
     * @param reports the latest reports of the processes, not null
     * @param clock the time source, not null
     * @return the role, not started, not null
     * @throws IOException if the data folder cannot be used; the message contains the result code
     */
    public static ControlRole open(
            DaemonSettings settings,
            boolean formsGroup,
            NodeClients clients,
            ConfigurationHolder holder,
            ReportTable reports,
            Clock clock)
            throws IOException {
        return new ControlRole(settings, formsGroup, clients, holder, reports, clock);
    }

    private ControlRole(
            DaemonSettings settings,
            boolean formsGroup,
            NodeClients clients,
            ConfigurationHolder holder,
            ReportTable reports,
            Clock clock)
            throws IOException {
        this.settings = settings;
        this.clients = clients;
        this.reports = reports;
        this.holder = holder;
        FileSystemDirectory device = FileSystemDirectory.open(settings.control().dataFolder());
        Optional<Long> storedIncarnation = RaftStorage.readIncarnation(device);
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create();
        long incarnation = storedIncarnation.orElseGet(() -> formsGroup ? FIRST_INCARNATION : newIncarnation(random));
        RaftStorage storage = storedIncarnation.isPresent()
                ? RaftStorage.recover(device)
                : RaftStorage.create(device, incarnation, Snapshot.initial(formsGroup ? initialMembers() : List.of()));
        RaftSettings timing = new RaftSettings(
                settings.control().electionTimeoutMillis(), settings.control().heartbeatMillis(), BATCH_ENTRIES);
        Member self = new Member(
                settings.process(), incarnation, settings.nodeAddress().toString());
        RaftNode agreement = RaftNode.recover(self, storage.stored(), timing, clock, random, this::isListedControlBox);
        this.member = ControlMember.of(
                agreement,
                storage,
                holder,
                clock,
                new ControlMember.ControlWiring(
                        this::send,
                        otherBoxes(),
                        settings.control().snapshotEvery(),
                        reports::staleProcesses,
                        this::stopProcess));
        this.statusQuery = new StatusQuery(settings.process(), member, reports, clock);
    }

    /** Starts the member and the periodic tasks. */
    public void start() {
        member.start();
        periodicTask = scheduler.scheduleWithFixedDelay(
                this::runPeriodicTasks, TASK_INTERVAL_MILLIS, TASK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Transfers leadership and stops. */
    public void stop() {
        periodicTask.cancel(false);
        scheduler.shutdown();
        member.stop();
    }

    /** Returns the latest view of the member, not null. */
    public ControlMember.View view() {
        return member.view();
    }

    /**
     * Handles a request from another process.
     *
     * @param request the request, not null
     * @return the reply, or empty if this role does not handle the request
     */
    public Optional<Promise<NodeReply>> handle(NodeRequest request) {
        if (request instanceof NodeRequest.DeliverRaftMessage agree) {
            member.receive(agree.message());
            return Optional.of(Promise.of(new NodeReply.Acknowledged()));
        }
        if (request instanceof NodeRequest.Submit submit) {
            return Optional.of(Promise.<CommandResult>ofFuture(member.submit(submit.command()))
                    .map(NodeReply.CommandOutcome::new));
        }
        if (request instanceof NodeRequest.ForwardReports forward) {
            reports.receive(forward.reports());
            return Optional.of(Promise.of(new NodeReply.Acknowledged()));
        }
        if (request instanceof NodeRequest.GetStatus || request instanceof NodeRequest.GetHistory) {
            return Optional.of(answerQuery(request));
        }
        return Optional.empty();
    }

    private Promise<NodeReply> answerQuery(NodeRequest request) {
        ControlMember.View view = member.view();
        if (!view.established()) {
            String leader =
                    view.leader() == null ? null : addressOf(view.leader()).toString();
            CommandResult notLeader = new CommandResult.NotExecuted(ResultCode.NOT_LEADER, leader);
            return Promise.of(new NodeReply.CommandOutcome(notLeader));
        }
        return request instanceof NodeRequest.GetStatus
                ? Promise.ofFuture(member.query(statusQuery::status)).map(NodeReply.Status::new)
                : Promise.ofFuture(member.query(statusQuery::history)).map(NodeReply.History::new);
    }

    /** Puts versions into service on the leader; forwards reports to the leader on the other members. */
    private void runPeriodicTasks() {
        try {
            ControlMember.View view = member.view();
            if (view.established()) {
                holder.get().models().forEach(this::putIntoServiceIfReady);
            } else if (view.leader() != null) {
                Address leader = addressOf(view.leader());
                NodeRequest request = new NodeRequest.ForwardReports(reports.receivedWithin(2 * TASK_INTERVAL_MILLIS));
                clients.tell(leader, request);
            }
        } catch (RuntimeException e) {
            LOG.log(Level.WARNING, "periodic control task failed", e);
        }
    }

    private void putIntoServiceIfReady(Model model) {
        Configuration configuration = holder.get();
        Optional<ModelVersion> wanted = configuration.desiredVersion(model);
        if (wanted.isEmpty()) {
            return;
        }
        String manifest = wanted.get().manifest();
        if (manifest.equals(configuration.inService().get(model.name()))) {
            return;
        }
        Collection<String> boxes =
                configuration.boxesServing(model).stream().map(Box::name).toList();
        if (reports.countLoaded(manifest, boxes) >= model.entersServiceAt()) {
            LOG.log(Level.INFO, "version enters service: " + model.name() + " " + manifest);
            member.submit(new Command.EnterService(model.name(), manifest)).join();
        }
    }

    private void send(Member to, RaftMessage message) {
        clients.tell(addressOf(to), new NodeRequest.DeliverRaftMessage(message));
    }

    /** Prefers the address in the settings of this process; the one known to the group may be unreachable from here. */
    private Address addressOf(Member box) {
        return settings.controlBoxes().stream()
                .filter(listed -> listed.name().equals(box.box()))
                .map(ControlBox::nodeAddress)
                .findFirst()
                .orElseGet(() -> Address.parse(box.address()));
    }

    private List<Member> initialMembers() {
        return settings.controlBoxes().stream()
                .map(box -> new Member(
                        box.name(), FIRST_INCARNATION, box.nodeAddress().toString()))
                .toList();
    }

    private List<Member> otherBoxes() {
        return initialMembers().stream()
                .filter(box -> !box.box().equals(settings.process()))
                .toList();
    }

    private boolean isListedControlBox(Member asking) {
        return settings.controlBoxes().stream().anyMatch(box -> box.name().equals(asking.box()));
    }

    private static long newIncarnation(UniformRandomProvider random) {
        return FIRST_INCARNATION + 1 + random.nextLong(Long.MAX_VALUE - 2);
    }

    private Void stopProcess(IOException reason) {
        LOG.log(Level.ERROR, "stopping after a storage failure: " + reason.getMessage());
        Runtime.getRuntime().halt(ResultCode.SYNC_FAILED.number() % 100);
        return null;
    }
}
