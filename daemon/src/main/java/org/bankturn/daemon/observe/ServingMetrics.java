package org.bankturn.daemon.observe;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.function.ToLongFunction;
import org.bankturn.daemon.http.BufferKind;
import org.bankturn.routing.FailureCause;
import org.bankturn.routing.HoldReason;

/**
 * The Prometheus metrics of a process that serves an external platform.
 *
 * <p>Names begin with {@code bankturn_}; durations are in seconds, sizes in bytes. ServingMetrics is thread-safe.
 */
public final class ServingMetrics {
    private static final double[] LATENCY_BUCKETS = {0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 4, 8};
    private static final double[] RATIO_BUCKETS = {0.25, 0.5, 0.75, 1, 1.25, 1.5, 2, 3, 5, 8};
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The label of connections to other processes of bankturn. */
    public static final String PEER_PROCESS = "process";

    /** The label of connections to targets. */
    public static final String PEER_TARGET = "target";

    /** The label of requests in progress at a target when it crashed. */
    public static final String SUSPECT_BLAMED = "blamed";

    /** The label of requests that waited until the targets that they may have crashed were checked. */
    public static final String SUSPECT_HELD = "held";

    /** The label of suspect requests that completed later. */
    public static final String SUSPECT_CLEARED = "cleared";

    /** The label of requests rejected because too many targets crashed while processing them. */
    public static final String SUSPECT_REFUSED = "refused";

    /** The label of requests stopped in progress because too many targets had crashed while processing them. */
    public static final String SUSPECT_STOPPED = "stopped";

    /** The label of prompt parts of requests in progress at a target when it crashed. */
    public static final String PART_BLAMED = "part blamed";

    /** The label of prompt parts that were reported to have run to their end. */
    public static final String PART_COMPLETED = "part completed";

    /** The label of target notices that cannot be parsed. */
    public static final String NOTICE_UNREADABLE = "unreadable";

    /** The label of granted permits. */
    public static final String PERMIT_GRANTED = "granted";

    /** The label of permits that were not available yet. */
    public static final String PERMIT_REFUSED = "refused";

    /** The label of permit requests without a reply. */
    public static final String PERMIT_UNANSWERED = "unanswered";

    /** The label of connections that ended while a request was received. */
    public static final String REQUEST_INCOMPLETE = "request incomplete";

    /** The label of connections that ended before a complete response was delivered. */
    public static final String RESPONSE_UNDELIVERED = "response undelivered";

    /** The label of documents that cannot be parsed. */
    public static final String DOCUMENT_UNREADABLE = "unreadable";

    /** The label of documents that contradict themselves. */
    public static final String DOCUMENT_INCONSISTENT = "inconsistent";

    /** The label of documents that name a region that no data hall has. */
    public static final String DOCUMENT_UNKNOWN_REGION = "unknown region";

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final Counter requests;
    private final Counter refusals;
    private final Counter brokenAnswers;
    private final Counter documentsRefused;
    private final Counter interruptedCallers;
    private final Counter slowReaders;
    private final Counter retries;
    private final Counter targetFailures;
    private final Counter slowedEngines;
    private final Counter silentConnections;
    private final Counter loadPolls;
    private final Counter errors;
    private final Counter suspects;
    private final Counter targetEnds;
    private final Counter oversized;
    private final Counter foreignResponses;
    private final Counter unreadablePromptParts;
    private final Counter closeDelimitedResponses;
    private final Counter incarnationChecks;
    private final Counter unreadableReports;
    private final Counter targetNotices;
    private final Counter permits;
    private final Counter heldBack;
    private final Gauge blockedRequests;
    private final Gauge blockedPromptParts;
    private final Counter pieceBytes;
    private final Counter piecesRejected;
    private final Counter startOrders;
    private final Histogram heldSeconds;
    private final Histogram firstEventSeconds;
    private final Histogram firstEventRatio;
    private final Histogram controlSeconds;
    private final Gauge publicationIndex;
    private final Gauge documentVersion;
    private final Gauge targets;
    private final Gauge leads;
    private final Gauge groupMembers;
    private final Gauge silentGroupMembers;
    private final Gauge tolerableGroupLosses;
    private final Gauge evacuatedHalls;

    /** Returns metrics that include the line counts of the log, not null. */
    public static ServingMetrics of(DecisionLog log) {
        return new ServingMetrics(log);
    }

    private ServingMetrics(DecisionLog log) {
        requests = counter("requests", "Requests by service and outcome.", "service", "outcome");
        refusals = counter("refusals", "Requests refused without being run, by service and cause.", "service", "cause");
        documentsRefused =
                counter("documents_refused", "Operators' documents that were not accepted, by cause.", "cause");
        brokenAnswers = counter(
                "broken_answers", "Responses broken off after their start, by service and cause.", "service", "cause");
        interruptedCallers = counter(
                "interrupted_callers",
                "Callers' connections that ended within a request or before a delivered response, by cause.",
                "event",
                "disconnect");
        slowReaders = counter("slow_readers_closed", "Callers disconnected because too much output was queued.");
        retries = counter("retries", "Requests sent to a further target, by service.", "service");
        targetFailures = counter("target_failures", "Failures seen at targets, by service.", "service");
        slowedEngines =
                counter("slowed_engines", "Engines that became slow, as seen in their events, by service.", "service");
        silentConnections =
                counter("silent_connections", "Connections given up because nothing came on them, by peer.", "peer");
        loadPolls = counter("load_questions", "Questions for engines' load, by outcome.", "outcome");
        errors = counter("errors", "Errors thrown that nothing handles.");
        unreadableReports = counter("unreadable_reports", "Reports of the engine that could not be read.");
        targetNotices = counter("target_notices", "Changes of what targets ask of callers, by kind.", "event");
        permits = counter("permits", "Permits for rate-limited targets that were asked for, by outcome.", "outcome");
        heldBack = counter(
                "held_back", "Requests that were not sent to the target chosen for them, by its wish.", "reason");
        oversized =
                counter("oversized_messages", "Messages given up at a bound of what is buffered.", "message", "bound");
        foreignResponses = counter(
                "foreign_responses",
                "Responses not accepted for the request that their connection carried, by what showed it.",
                "reason");
        targetEnds = counter("target_ends", "Targets found to have ended, by what showed it.", "evidence");
        suspects = counter("suspects", "Requests under which targets ended, by what became of them.", "event");
        unreadablePromptParts = counter("unreadable_prompt_parts", "Parts of prompts that could not be read.");
        closeDelimitedResponses = counter(
                "close_delimited_responses", "Responses ended by their connection alone, by service.", "service");
        incarnationChecks = counter(
                "incarnation_checks", "Checks which incarnation is at a target's address, by outcome.", "outcome");
        blockedRequests =
                gauge("condemned_requests", "Requests that are sent to no target because targets ended under them.");
        blockedPromptParts = gauge(
                "condemned_prompt_parts", "Parts of prompts whose requests are sent to no target, as targets ended.");
        pieceBytes = counter("piece_bytes", "Bytes of good pieces of weights, by source.", "source");
        startOrders = counter("start_orders", "Orders to the engine to load staged weights, by outcome.", "outcome");
        piecesRejected = counter("pieces_rejected", "Pieces missing or spoilt, by source.", "source");
        heldSeconds = histogram("held_seconds", "Time a request was held, by outcome.", "outcome");
        firstEventSeconds = histogram("first_event_seconds", "Time to a stream's first event, by service.", "service");
        firstEventRatio = histogram(
                "first_event_ratio",
                "Time to a first event against the prediction, by service.",
                RATIO_BUCKETS,
                "service");
        controlSeconds = histogram("control_seconds", "Time to answer a call, by call and answer.", "call", "answer");
        publicationIndex = gauge("publication_index", "Index of the publication in force here.");
        documentVersion = gauge("document_version", "Version of the operators' document in force here.");
        targets = gauge("targets", "Targets known here.");
        leads = gauge("leads", "1 if this process leads its group.");
        groupMembers = gauge("group_members", "Voting members of the control group as known here.");
        silentGroupMembers = gauge(
                "group_members_silent", "Voting members that the leader does not hear from; NaN unless it leads.");
        tolerableGroupLosses = gauge(
                "group_tolerable_losses",
                "Members that may be lost besides the silent ones before the group has no majority; NaN unless it leads.");
        evacuatedHalls = gauge("evacuated_halls", "Data halls evacuated as known here.");
        CounterWithCallback.builder()
                .name("bankturn_log_lines")
                .help("Lines of the decision log, written and dropped.")
                .labelNames("outcome")
                .callback(lines -> {
                    lines.call((double) log.written(), "written");
                    lines.call((double) log.dropped(), "dropped");
                })
                .register(registry);
    }

    private Counter counter(String name, String help, String... labels) {
        return Counter.builder()
                .name("bankturn_" + name)
                .help(help)
                .labelNames(labels)
                .register(registry);
    }

    private Histogram histogram(String name, String help, String... labels) {
        return histogram(name, help, LATENCY_BUCKETS, labels);
    }

    private Histogram histogram(String name, String help, double[] bounds, String... labels) {
        return Histogram.builder()
                .name("bankturn_" + name)
                .help(help)
                .labelNames(labels)
                .classicOnly()
                .classicUpperBounds(bounds)
                .register(registry);
    }

    private Gauge gauge(String name, String help) {
        return Gauge.builder().name("bankturn_" + name).help(help).register(registry);
    }

    /** Counts a request that got its final response, or whose caller disconnected. */
    public void requestEnded(String service, RequestOutcome outcome, long heldMillis) {
        requests.labelValues(service, outcome.label()).inc();
        heldSeconds.labelValues(outcome.label()).observe((double) heldMillis / MILLIS_PER_SECOND);
    }

    /** Counts a request that was refused without being run. */
    public void requestRefused(String service, FailureCause cause) {
        refusals.labelValues(service, cause.label()).inc();
    }

    /** Counts an operators' document that was not accepted; {@code cause} is one of the {@code DOCUMENT} labels. */
    public void documentRefused(String cause) {
        documentsRefused.labelValues(cause).inc();
    }

    /** Counts a response that was broken off after its start. */
    public void responseBroken(String service, FailureCause cause) {
        brokenAnswers.labelValues(service, cause.label()).inc();
    }

    /** Counts a caller's connection that ended within a request or before a response was delivered. */
    public void callerInterrupted(String event, String disconnect) {
        interruptedCallers.labelValues(event, disconnect).inc();
    }

    /** Counts a caller that was disconnected because it did not read while too much output was queued. */
    public void slowReaderClosed() {
        slowReaders.inc();
    }

    /** Registers a gauge of the output that callers have not read; to be called at most once. */
    public void registerQueuedOutputGauge(LongSupplier bytes) {
        GaugeWithCallback.builder()
                .name("bankturn_queued_output_bytes")
                .help("Output that callers have not read yet.")
                .callback(gauge -> gauge.call((double) bytes.getAsLong()))
                .register(registry);
    }

    /** Registers the gauges of memory for messages that must be received completely. */
    public void registerBufferedBytesGauge(ToLongFunction<BufferKind> bytes) {
        GaugeWithCallback.builder()
                .name("bankturn_buffered_bytes")
                .help("Memory reserved for messages that must be received completely, by what they are.")
                .labelNames("message")
                .callback(gauge -> {
                    for (BufferKind kind : BufferKind.values()) {
                        gauge.call((double) bytes.applyAsLong(kind), kind.label());
                    }
                })
                .register(registry);
    }

    /** Counts a message that was given up because it exceeds a bound. */
    public void messageTooLarge(String message, String bound) {
        oversized.labelValues(message, bound).inc();
    }

    /** Counts a response that was not accepted for the request that its connection carried. */
    public void foreignResponse(String reason) {
        foreignResponses.labelValues(reason).inc();
    }

    /** Records the time to the first event of a stream. */
    public void firstEvent(String service, long millis) {
        firstEventSeconds.labelValues(service).observe((double) millis / MILLIS_PER_SECOND);
    }

    /** Records the ratio of the actual to the predicted time to a stream's first event. */
    public void firstEventPredicted(String service, double predictedMillis, long actualMillis) {
        firstEventRatio.labelValues(service).observe(actualMillis / Math.max(1, predictedMillis));
    }

    /** Counts a retry of a request at another target. */
    public void retried(String service) {
        retries.labelValues(service).inc();
    }

    /** Counts a failure seen at a target. */
    public void targetFailed(String service) {
        targetFailures.labelValues(service).inc();
    }

    /** Counts a connection closed for silence; {@code peer} is one of the {@code PEER} labels. */
    public void silentConnectionClosed(String peer) {
        silentConnections.labelValues(peer).inc();
    }

    /** Counts an unhandled error. */
    public void errorThrown() {
        errors.inc();
    }

    /** Counts a poll of an engine's load. */
    public void loadPollEnded(boolean answered) {
        loadPolls.labelValues(answered ? "answered" : "unanswered").inc();
    }

    /** Counts an engine report that cannot be parsed. */
    public void unreadableReport() {
        unreadableReports.inc();
    }

    /** Counts a change of the flow control that a target requests; {@code event} is its label. */
    public void targetNoticeChanged(String event) {
        targetNotices.labelValues(event).inc();
    }

    /** Registers a gauge of the targets that are held back, by reason; to be called at most once. */
    public void registerHeldBackGauge(Supplier<Map<HoldReason, Integer>> counts) {
        GaugeWithCallback.builder()
                .name("bankturn_targets_held_back")
                .help("Targets that get no request from this gateway now, by reason.")
                .labelNames("reason")
                .callback(gauge -> {
                    Map<HoldReason, Integer> now = counts.get();
                    for (HoldReason reason : HoldReason.values()) {
                        gauge.call(now.getOrDefault(reason, 0), reason.label());
                    }
                })
                .register(registry);
    }

    /** Registers a gauge of the engines whose events arrive slowly; to be called at most once. */
    public void registerSlowEnginesGauge(Supplier<Integer> count) {
        GaugeWithCallback.builder()
                .name("bankturn_slow_engines")
                .help("Engines whose events arrive slowly at this gateway now.")
                .callback(gauge -> gauge.call(count.get()))
                .register(registry);
    }

    /** Counts an engine that became slow, as seen in the events of its streams. */
    public void engineSlowed(String service) {
        slowedEngines.labelValues(service).inc();
    }

    /** Counts a permit request; {@code outcome} is one of the {@code PERMIT} labels. */
    public void permitRequested(String outcome) {
        permits.labelValues(outcome).inc();
    }

    /** Counts a request that was not sent to its selected target because of the target's flow control. */
    public void requestHeldBack(String reason) {
        heldBack.labelValues(reason).inc();
    }

    /** Counts a target that was found to have ended. */
    public void targetEnded(String evidence) {
        targetEnds.labelValues(evidence).inc();
    }

    /** Counts an event of a suspect request; {@code event} is one of the {@code SUSPECT} labels. */
    public void suspectEvent(String event) {
        suspects.labelValues(event).inc();
    }

    /** Counts parts of a prompt that could not be read. */
    public void promptPartsUnreadable(int parts) {
        unreadablePromptParts.inc(parts);
    }

    /** Counts a response that only the end of its connection delimited. */
    public void responseEndedAtClose(String service) {
        closeDelimitedResponses.labelValues(service).inc();
    }

    /** Counts a check which incarnation is at a target's address. */
    public void incarnationChecked(String outcome) {
        incarnationChecks.labelValues(outcome).inc();
    }

    /** Sets the number of requests blocked because targets crashed while processing them. */
    public void setBlockedRequests(int requests) {
        blockedRequests.set(requests);
    }

    /** Sets the number of prompt parts blocked because targets crashed while processing requests with them. */
    public void setBlockedPromptParts(int parts) {
        blockedPromptParts.set(parts);
    }

    /** Counts the bytes of a verified piece of weights. */
    public void pieceReceived(String source, long bytes) {
        pieceBytes.labelValues(source).inc(bytes);
    }

    /** Counts a piece of weights that was missing or corrupt. */
    public void pieceRejected(String source) {
        piecesRejected.labelValues(source).inc();
    }

    /** Counts an attempt to have the engine load staged weights; {@code outcome} is its label. */
    public void startOrder(String outcome) {
        startOrders.labelValues(outcome).inc();
    }

    /** Records the duration of a call from an operator or target. */
    public void controlCall(String call, String answer, long millis) {
        controlSeconds.labelValues(call, answer).observe((double) millis / MILLIS_PER_SECOND);
    }

    /** Sets the publication in force and the number of known targets. */
    public void setPublication(long index, long version, int knownTargets) {
        publicationIndex.set((double) index);
        documentVersion.set((double) version);
        targets.set(knownTargets);
    }

    /** Sets whether this process leads its group. */
    public void setLeader(boolean leading) {
        leads.set(leading ? 1 : 0);
    }

    /** Sets the number of voting members of the control group. */
    public void setGroupMembers(int members) {
        groupMembers.set(members);
    }

    /** Sets what a leader knows of its group; see {@link #clearGroupHealth} for other members. */
    public void setGroupHealth(int silentMembers, int tolerableLosses) {
        silentGroupMembers.set(silentMembers);
        tolerableGroupLosses.set(tolerableLosses);
    }

    /** Clears what only a leader knows. */
    public void clearGroupHealth() {
        silentGroupMembers.set(Double.NaN);
        tolerableGroupLosses.set(Double.NaN);
    }

    /** Sets the number of evacuated data halls known to this process. */
    public void setEvacuatedHalls(int halls) {
        evacuatedHalls.set(halls);
    }

    /** Returns all metrics in the Prometheus text format, not null. */
    public byte[] metricsText() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            PrometheusTextFormatWriter.create().write(text, registry.scrape());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toByteArray();
    }
}
