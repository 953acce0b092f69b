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
    private final Map<String, UnansweredPoll> unanswered = new HashMap<>();
    private long lastAnswerMillis = Long.MIN_VALUE / 2;

    /** A question that was asked at a moment and stayed open for that long. */
    private record UnansweredPoll(long sentMillis, long waitedMillis) {}

    /** Returns an empty set of questions, not null. */
    static UnansweredPolls none(Clock clock) {
        return new UnansweredPolls(clock);
    }

    private UnansweredPolls(Clock clock) {
        this.clock = clock;
    }

    /** Returns by what the way to an engine counts at least, in milliseconds, 0 if nothing speaks against it. */
    long penaltyMillis(String engine) {
        UnansweredPoll poll = unanswered.get(engine);
        if (poll == null) {
            return 0;
        }
        boolean othersAnswer = lastAnswerMillis >= poll.sentMillis();
        return othersAnswer || unanswered.size() == 1 ? poll.waitedMillis() : 0;
    }

    /** A question stayed open for as long as given; further ones count from when the first was asked. */
    void pollUnanswered(String engine, long sentMillis, long waitedMillis) {
        unanswered.merge(
                engine,
                new UnansweredPoll(sentMillis, waitedMillis),
                (first, next) ->
                        new UnansweredPoll(first.sentMillis(), Math.max(first.waitedMillis(), next.waitedMillis())));
    }

    /** An engine answered. */
    void pollAnswered(String engine) {
        unanswered.remove(engine);
        lastAnswerMillis = clock.millis();
    }

    /** Forgets engines that are gone. */
    void removeAll(Collection<String> removed) {
        unanswered.keySet().removeAll(removed);
    }
}
