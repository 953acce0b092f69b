package org.bankturn.replay;

import java.util.Comparator;
import java.util.List;

/**
 * The shares of a kind of request that were served, by the size of the requests.
 *
 * @param kind the kind, not null
 * @param requests the number of requests that ended
 * @param all the share served of all requests
 * @param largestTenth the share served of the tenth with the longest prompts
 * @param nextFifth the share served of the fifth below the largest tenth
 * @param smallerHalf the share served of the half with the shortest prompts
 * @param weightedCredit the earned share of the possible credit, with requests weighted by their size
 */
public record ServedBySize(
        String kind,
        int requests,
        double all,
        double largestTenth,
        double nextFifth,
        double smallerHalf,
        double weightedCredit) {
    private static final double LARGEST = 0.1;
    private static final double NEXT = 0.2;

    /** The weight of a request regardless of its size; the rest is proportional to its size. */
    private static final double FIXED_WEIGHT = 0.3;

    /** The upper limit of the weight, relative to a request of mean size. */
    private static final double MAX_WEIGHT = 4;

    /** The weight of an answer token, relative to a prompt token. */
    private static final double ANSWER_TOKEN_WEIGHT = 10;

    /**
     * The outcome of a request.
     *
     * @param promptTokens the length of its prompt
     * @param answerTokens the length of its answer
     * @param served true if it was answered completely
     * @param credit the earned credit, 1 for a complete answer in time
     */
    record Outcome(int promptTokens, int answerTokens, boolean served, double credit) {
        double size() {
            return promptTokens + ANSWER_TOKEN_WEIGHT * answerTokens;
        }
    }

    /** Returns the shares of the given requests, not null. */
    static ServedBySize of(String kind, List<Outcome> outcomes) {
        List<Outcome> bySize = outcomes.stream()
                .sorted(Comparator.comparingInt(Outcome::promptTokens).reversed())
                .toList();
        int count = bySize.size();
        int tenth = (int) Math.round(count * LARGEST);
        int next = (int) Math.round(count * (LARGEST + NEXT));
        return new ServedBySize(
                kind,
                count,
                served(bySize),
                served(bySize.subList(0, tenth)),
                served(bySize.subList(tenth, next)),
                served(bySize.subList(count / 2, count)),
                weightedCredit(bySize));
    }

    private static double served(List<Outcome> outcomes) {
        return outcomes.stream()
                .mapToInt(each -> each.served() ? 1 : 0)
                .average()
                .orElse(0);
    }

    private static double weightedCredit(List<Outcome> outcomes) {
        double mean = outcomes.stream().mapToDouble(Outcome::size).average().orElse(1);
        double earned = 0;
        double possible = 0;
        for (Outcome each : outcomes) {
            double weight = Math.min(MAX_WEIGHT, FIXED_WEIGHT + (1 - FIXED_WEIGHT) * each.size() / mean);
            earned += weight * each.credit();
            possible += weight;
        }
        return earned / Math.max(1, possible);
    }
}
