package org.bankturn.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.bankturn.time.Clock;

/**
 * Interprets load polls that engines have not answered.
 *
 * <p>Load pattern: the link to one engine became slow, as opposed to all connections becoming silent at once.
 * Penalizing engines in the second case would reject every request. An unanswered poll therefore counts against its
 * engine only if any engine answered since the poll was sent, or if it is the only one.
 *
 * <p>UnansweredPolls is mutable and not thread-safe.
 */
final class UnansweredPolls {
    private final Clock clock;
    private final Map<String, UnansweredPoll> unanswered = new HashMap<>();
    private long lastAnswerMillis = Long.MIN_VALUE / 2;

    /** A poll that was sent at a time and not answered for a duration. */
    private record UnansweredPoll(long sentMillis, long waitedMillis) {}

    /** Returns an empty set of polls, not null. */
    static UnansweredPolls none(Clock clock) {
        return new UnansweredPolls(clock);
    }

    private UnansweredPolls(Clock clock) {
        this.clock = clock;
    }

    /** Returns the lower bound on the round trip to an engine, 0 if there is no evidence of delay. */
    long penaltyMillis(String engine) {
        UnansweredPoll poll = unanswered.get(engine);
        if (poll == null) {
            return 0;
        }
        boolean othersAnswer = lastAnswerMillis >= poll.sentMillis();
        return othersAnswer || unanswered.size() == 1 ? poll.waitedMillis() : 0;
    }

    /** Records an unanswered poll; repeated ones count from the time of the first. */
    void pollUnanswered(String engine, long sentMillis, long waitedMillis) {
        unanswered.merge(
                engine,
                new UnansweredPoll(sentMillis, waitedMillis),
                (first, next) ->
                        new UnansweredPoll(first.sentMillis(), Math.max(first.waitedMillis(), next.waitedMillis())));
    }

    /** Records that an engine answered. */
    void pollAnswered(String engine) {
        unanswered.remove(engine);
        lastAnswerMillis = clock.millis();
    }

    /** Removes engines that are gone. */
    void removeAll(Collection<String> removed) {
        unanswered.keySet().removeAll(removed);
    }
}
