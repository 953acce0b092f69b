package org.bankturn.daemon.observe;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.Map;

/**
 * The metrics and traces of one process.
 *
 * <p>Metric names begin with {@code bankturn_}; durations are in seconds, sizes in bytes. Spans follow W3C trace
 * context and are written to the log if the settings ask for it.
 *
 * <p>Telemetry is thread-safe.
 */
public final class Telemetry {
    private static final String TRACEPARENT = "traceparent";
    private static final TextMapGetter<Map<String, String>> GETTER = new TextMapGetter<>() {
        @Override
        @SuppressWarnings("deprecation")
        public Iterable<String> keys(Map<String, String> carrier) {
            return carrier.keySet();
        }

        @Override
        public String get(Map<String, String> carrier, String key) {
            return carrier == null ? null : carrier.get(key);
        }
    };

    private final PrometheusRegistry registry = new PrometheusRegistry();
    private final SdkTracerProvider tracerProvider;
    private final Tracer tracer;

    /** Requests by service and result code. */
    private final Counter requests;

    private final Counter retries;
    private final Histogram firstByteSeconds;
    private final Gauge inFlight;
    private final Gauge configurationIndex;
    private final Counter chunkBytes;
    private final Counter chunksRejected;

    /**
     * Creates the telemetry of a process.
     *
     * @param process the name of the process, not null
     * @param traces true if spans are written to the log
     * @return the telemetry, not null
     */
    public static Telemetry of(String process, boolean traces) {
        return new Telemetry(process, traces);
    }

    private Telemetry(String process, boolean traces) {
        Resource resource = Resource.builder().put("service.name", process).build();
        var builder = SdkTracerProvider.builder().setResource(resource);
        if (traces) {
            builder.addSpanProcessor(
                    BatchSpanProcessor.builder(LogSpanExporter.create()).build());
        }
        tracerProvider = builder.build();
        tracer = tracerProvider.get("org.bankturn");
        requests = Counter.builder()
                .name("bankturn_requests")
                .help("Requests by service and numbered result.")
                .labelNames("service", "result")
                .register(registry);
        retries = Counter.builder()
                .name("bankturn_retries")
                .help("Attempts after the first.")
                .register(registry);
        firstByteSeconds = Histogram.builder()
                .name("bankturn_first_byte_seconds")
                .help("Time to the first byte of an answer.")
                .labelNames("service")
                .register(registry);
        inFlight = Gauge.builder()
                .name("bankturn_in_flight")
                .help("Requests being worked on.")
                .register(registry);
        configurationIndex = Gauge.builder()
                .name("bankturn_configuration_index")
                .help("Index of the configuration in force here.")
                .register(registry);
        chunkBytes = Counter.builder()
                .name("bankturn_chunk_bytes")
                .help("Bytes of verified chunks by where they came from.")
                .labelNames("source")
                .register(registry);
        chunksRejected = Counter.builder()
                .name("bankturn_chunks_rejected")
                .help("Chunks that did not match their digest, by where they came from.")
                .labelNames("source")
                .register(registry);
    }

    /**
     * Counts a completed request.
     *
     * @param service the service, not null
     * @param result the result code
     */
    public void requestEnded(String service, int result) {
        requests.labelValues(service, Integer.toString(result)).inc();
    }

    /** Counts an attempt after the first. */
    public void retried() {
        retries.inc();
    }

    /**
     * Records the time to the first byte of a response.
     *
     * @param service the service, not null
     * @param seconds the time in seconds
     */
    public void firstByteReceived(String service, double seconds) {
        firstByteSeconds.labelValues(service).observe(seconds);
    }

    /**
     * Sets the number of requests in progress.
     *
     * @param count the number
     */
    public void setInFlight(int count) {
        inFlight.set(count);
    }

    /**
     * Sets the index of the configuration in force.
     *
     * @param index the index
     */
    public void setConfigurationIndex(long index) {
        configurationIndex.set((double) index);
    }

    /**
     * Counts a verified chunk.
     *
     * @param source origin or peer, not null
     * @param bytes the size of the chunk
     */
    public void chunkVerified(String source, long bytes) {
        chunkBytes.labelValues(source).inc(bytes);
    }

    /**
     * Counts a chunk that did not match its digest.
     *
     * @param source origin or peer, not null
     */
    public void chunkRejected(String source) {
        chunksRejected.labelValues(source).inc();
    }

    /**
     * Starts a server span.
     *
     * @param name the name of the span, not null
     * @param traceparent the caller's W3C traceparent, null if absent
     * @return the span, to be ended by the caller, not null
     */
    public Span startServerSpan(String name, String traceparent) {
        Map<String, String> carrier = new HashMap<>();
        if (traceparent != null) {
            carrier.put(TRACEPARENT, traceparent);
        }
        Context parent = W3CTraceContextPropagator.getInstance().extract(Context.root(), carrier, GETTER);
        return tracer.spanBuilder(name)
                .setParent(parent)
                .setSpanKind(SpanKind.SERVER)
                .startSpan();
    }

    /**
     * Returns the trace context to propagate to the next process.
     *
     * @param span the current span, not null
     * @return the W3C traceparent, empty if there is none, not null
     */
    public String traceparentOf(Span span) {
        Map<String, String> carrier = new HashMap<>();
        W3CTraceContextPropagator.getInstance().inject(Context.root().with(span), carrier, Map::put);
        return carrier.getOrDefault(TRACEPARENT, "");
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

    /** Flushes pending spans and shuts down tracing. */
    public void close() {
        tracerProvider.close();
    }
}
