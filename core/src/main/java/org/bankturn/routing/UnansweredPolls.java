package org.bankturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Judges what it means that engines left questions for their load open.
 *
 * <p>Load pattern: a link to one engine became slow, beside all connections to the processes beside engines going silent at
 * once. In the first case requests should not go there, in the second refusing them for it refuses everything. So an open
 * question counts against its engine if any engine answered since it was asked, or if it is the only one.
 *
 * <p>OpenQuestions is mutable and not thread-safe.
 */
final class UnansweredPolls {
    private final Clock clock;
    private final Map<String, Open> open = new HashMap<>();
    private long answeredMillis = Long.MIN_VALUE / 2;

    /** A question that was asked at a moment and stayed open for that long. */
    private record Open(long askedMillis, long openMillis) {}

    /** Returns an empty set of questions, not null. */
    static UnansweredPolls none(Clock clock) {
        return new UnansweredPolls(clock);
    }

    private UnansweredPolls(Clock clock) {
        this.clock = clock;
    }

    /** Returns by what the way to an engine counts at least, in milliseconds, 0 if nothing speaks against it. */
    long penaltyMillis(String engine) {
        Open question = open.get(engine);
        if (question == null) {
            return 0;
        }
        boolean othersAnswer = answeredMillis >= question.askedMillis();
        return othersAnswer || open.size() == 1 ? question.openMillis() : 0;
    }

    /** A question stayed open for as long as given; further ones count from when the first was asked. */
    void pollUnanswered(String engine, long askedMillis, long openMillis) {
        open.merge(
                engine,
                new Open(askedMillis, openMillis),
                (first, next) -> new Open(first.askedMillis(), Math.max(first.openMillis(), next.openMillis())));
    }

    /** An engine answered. */
    void pollAnswered(String engine) {
        open.remove(engine);
        answeredMillis = clock.millis();
    }

    /** Forgets engines that are gone. */
    void removeAll(Collection<String> gone) {
        open.keySet().removeAll(gone);
    }
}
