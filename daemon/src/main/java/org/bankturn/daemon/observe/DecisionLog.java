package org.bankturn.daemon.observe;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.bankturn.time.Clock;

/**
 * Writes one JSON line per decision, by default to standard output, without blocking the calling thread.
 *
 * <p>A writer thread takes lines from a bounded queue. Lines that do not fit are dropped, and the number of dropped lines
 * is written once the queue drains. Each kind of line is rate-limited, so that a flood of one kind does not displace the
 * others.
 *
 * <p>DecisionLog is thread-safe.
 */
public final class DecisionLog {
    private static final int QUEUE_CAPACITY = 1_024;
    private static final long SECOND_MILLIS = 1_000;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final AtomicLong unreportedDropped = new AtomicLong();
    private final AtomicLong totalDropped = new AtomicLong();
    private final AtomicLong written = new AtomicLong();
    private final Map<DecisionKind, Integer> writtenThisSecond = new EnumMap<>(DecisionKind.class);
    private long currentSecond;
    private final Clock clock;
    private final String process;
    private final OutputStream output;

    /** Starts a log on standard output for the process of the given name. */
    public static DecisionLog start(String process, Clock clock) {
        return startTo(new FileOutputStream(FileDescriptor.out), process, clock);
    }

    /** Starts a log on a stream, which may block, for the process of the given name. */
    public static DecisionLog startTo(OutputStream output, String process, Clock clock) {
        DecisionLog log = new DecisionLog(output, process, clock);
        Thread writer = new Thread(log::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    private DecisionLog(OutputStream output, String process, Clock clock) {
        this.output = output;
        this.process = process;
        this.clock = clock;
    }

    /**
     * Begins a line; it is dropped if its kind exceeds the rate limit.
     *
     * @param kind the kind of decision, not null
     * @return the line, to be completed with fields and written, not null
     */
    public DecisionLine line(DecisionKind kind) {
        long now = clock.millis();
        if (!withinBudget(kind, now)) {
            countDropped();
            return DecisionLine.dropped(this);
        }
        return DecisionLine.begin(this, now, process, kind);
    }

    /** Returns how many lines were written since the start. */
    public long written() {
        return written.get();
    }

    /** Returns how many lines were dropped since the start. */
    public long dropped() {
        return totalDropped.get();
    }

    /** Enqueues a complete line without blocking; drops and counts it if the queue is full. */
    void offer(String line) {
        if (!queue.offer(line)) {
            countDropped();
        }
    }

    private void countDropped() {
        unreportedDropped.incrementAndGet();
        totalDropped.incrementAndGet();
    }

    private synchronized boolean withinBudget(DecisionKind kind, long now) {
        if (now / SECOND_MILLIS != currentSecond) {
            currentSecond = now / SECOND_MILLIS;
            writtenThisSecond.clear();
        }
        return writtenThisSecond.merge(kind, 1, Integer::sum) <= kind.maxLinesPerSecond();
    }

    private void writeLines() {
        try {
            while (true) {
                output.write(queue.take().getBytes(StandardCharsets.UTF_8));
                written.incrementAndGet();
                long count = unreportedDropped.getAndSet(0);
                if (count > 0) {
                    String line = "{\"at\":" + clock.millis() + ",\"process\":\"" + process
                            + "\",\"kind\":\"lines_dropped\",\"count\":" + count + "}\n";
                    output.write(line.getBytes(StandardCharsets.UTF_8));
                }
            }
        } catch (IOException e) {
            queue.clear();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
