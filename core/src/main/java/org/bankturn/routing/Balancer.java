package org.bankturn.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Chooses the cheaper of two random targets (power of two choices, Mitzenmacher 2001).
 *
 * <p>Balancer is thread-safe and immutable, provided that the random numbers and loads passed in are.
 */
public final class Balancer {
    private Balancer() {}

    /**
     * Chooses a target.
     *
     * @param candidates the eligible targets, not null
     * @param load returns the load of a target, not null
     * @param random the source of randomness, not null
     * @return the target, empty if there are no candidates
     */
    public static <T> Optional<T> choose(
            List<T> candidates, Function<T, TargetLoad> load, UniformRandomProvider random) {
        int count = candidates.size();
        if (count <= 1) {
            return candidates.stream().findFirst();
        }
        int first = random.nextInt(count);
        int second = (first + 1 + random.nextInt(count - 1)) % count;
        T one = candidates.get(first);
        T other = candidates.get(second);
        return Optional.of(load.apply(one).cost() <= load.apply(other).cost() ? one : other);
    }
}
