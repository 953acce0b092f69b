package org.bankturn.daemon.observe;

import com.fasterxml.jackson.core.io.JsonStringEncoder;

/**
 * A builder for one line of a {@link DecisionLog}.
 *
 * <p>DecisionLine is mutable and confined to the thread that created it.
 */
public final class DecisionLine {
    private static final JsonStringEncoder ENCODER = JsonStringEncoder.getInstance();
    private static final int INITIAL_CAPACITY = 192;

    private final DecisionLog log;
    private final StringBuilder text;

    /** Begins a line that {@link #write} passes to the log. */
    static DecisionLine begin(DecisionLog log, long atMillis, String process, DecisionKind kind) {
        StringBuilder text = new StringBuilder(INITIAL_CAPACITY);
        text.append("{\"at\":").append(atMillis).append(",\"process\":\"");
        ENCODER.quoteAsString(process, text);
        text.append("\",\"kind\":\"").append(kind.label()).append('"');
        return new DecisionLine(log, text);
    }

    /** Returns a line that is discarded because its kind exceeds the rate limit. */
    static DecisionLine dropped(DecisionLog log) {
        return new DecisionLine(log, null);
    }

    private DecisionLine(DecisionLog log, StringBuilder text) {
        this.log = log;
        this.text = text;
    }

    /**
     * Adds a field and returns this line.
     *
     * @param field its name, not null
     * @param value the value, written as is if it is a number or boolean, otherwise as a string
     */
    public DecisionLine with(DecisionField field, Object value) {
        if (text == null) {
            return this;
        }
        text.append(",\"").append(field.label()).append("\":");
        if (value instanceof Number || value instanceof Boolean) {
            text.append(value);
        } else {
            text.append('"');
            ENCODER.quoteAsString(String.valueOf(value), text);
            text.append('"');
        }
        return this;
    }

    /** Passes the line to the log, which writes it asynchronously or drops and counts it. */
    public void write() {
        if (text != null) {
            log.offer(text.append("}\n").toString());
        }
    }
}
