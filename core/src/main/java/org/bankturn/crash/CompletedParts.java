package org.bankturn.crash;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The prompt parts with which requests ran to their end at one gateway, most recently used first to stay.
 *
 * <p>A part that ran to its end before targets crash is known to be harmless on those weights. CompletedParts is mutable and
 * not thread-safe.
 */
final class CompletedParts {
    /** The number of parts that are remembered; some 600 KB. */
    static final int MAX_PARTS = 4_096;

    private final Map<String, CompletedPart> parts = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, CompletedPart> eldest) {
            return size() > MAX_PARTS;
        }
    };

    /** Returns an instance that knows no part, not null. */
    static CompletedParts empty() {
        return new CompletedParts();
    }

    private CompletedParts() {}

    /** Returns what is known of a part, empty if no request with it is known to have completed, not null. */
    Optional<CompletedPart> find(String part) {
        return Optional.ofNullable(parts.get(part));
    }

    /** Records a part; a run on newer weights replaces one on older weights, a later run an earlier one. */
    void record(CompletedPart completed) {
        parts.merge(completed.part(), completed, CompletedParts::newer);
    }

    private static CompletedPart newer(CompletedPart known, CompletedPart other) {
        boolean older = other.weightsVersion() < known.weightsVersion()
                || (other.weightsVersion() == known.weightsVersion() && other.knownIndex() < known.knownIndex());
        return older ? known : other;
    }
}
