package org.bankturn.replay;

import java.util.ArrayList;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Draws the shared parts of prompts by their popularity.
 *
 * <p>It has random numbers of its own, so that patterns without parts replay as they did. PromptPartSource is mutable and not
 * thread-safe.
 */
final class PromptPartSource {
    /** The part whose requests crash every engine that runs them. */
    static final String CRASHING_PART = "crashing";

    private final List<LoadPattern.SharedPart> parts;
    private final UniformRandomProvider random;

    PromptPartSource(List<LoadPattern.SharedPart> parts, long seed) {
        this.parts = parts;
        this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** Returns the shared parts of a prompt of the given kind of request, in order, not null. */
    List<String> draw(LoadPattern.Kind kind) {
        List<String> drawn = new ArrayList<>();
        StringBuilder id = new StringBuilder(kind.name());
        for (LoadPattern.SharedPart part : parts) {
            drawn.add(id.append('-').append(drawNumber(part.count())).toString());
        }
        return drawn;
    }

    /** Returns the shared parts of a prompt whose first part is the crashing one, not null. */
    List<String> drawCrashingFirst(LoadPattern.Kind kind) {
        List<String> drawn = new ArrayList<>(draw(kind));
        drawn.set(0, CRASHING_PART);
        return drawn;
    }

    /** Returns the shared parts of a prompt whose second part is the crashing one, not null. */
    List<String> drawCrashingSecond(LoadPattern.Kind kind) {
        List<String> drawn = new ArrayList<>(draw(kind));
        drawn.add(1, CRASHING_PART);
        return drawn;
    }

    /** Returns a number from 0; the probability of n is proportional to 1/sqrt(n + 1). */
    private int drawNumber(int count) {
        double uniform = random.nextDouble();
        return (int) Math.min(count - 1, uniform * uniform * count);
    }
}
