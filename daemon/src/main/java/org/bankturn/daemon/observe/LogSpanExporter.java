package org.bankturn.daemon.observe;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Collection;
import java.util.concurrent.TimeUnit;

/** Logs each span as one line with its trace, span and parent ids. */
final class LogSpanExporter implements SpanExporter {
    private static final Logger LOG = System.getLogger("org.bankturn.trace");

    static LogSpanExporter create() {
        return new LogSpanExporter();
    }

    private LogSpanExporter() {}

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        for (SpanData span : spans) {
            long micros = TimeUnit.NANOSECONDS.toMicros(span.getEndEpochNanos() - span.getStartEpochNanos());
            LOG.log(
                    Level.INFO,
                    "span {0} trace={1} span={2} parent={3} micros={4} {5}",
                    span.getName(),
                    span.getTraceId(),
                    span.getSpanId(),
                    span.getParentSpanId(),
                    Long.toString(micros),
                    span.getAttributes().asMap());
        }
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }
}
