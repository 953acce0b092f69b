package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PieceSourceCountsTest {
    private final PieceSourceCounts counts = new PieceSourceCounts();

    @Test
    void top_source_has_most_pieces() {
        counts.add("10.0.0.1:7");
        counts.add("10.0.0.2:7");
        counts.add("10.0.0.2:7");
        assertThat(counts.topSource()).isEqualTo("10.0.0.2:7");
        assertThat(counts.count("10.0.0.2:7")).isEqualTo(2);
        assertThat(counts.sourceCount()).isEqualTo(2);
    }

    @Test
    void ties_are_resolved_by_name() {
        counts.add("b");
        counts.add("a");
        assertThat(counts.topSource()).isEqualTo("a");
    }

    @Test
    void no_top_source_without_pieces() {
        assertThat(counts.topSource()).isEmpty();
        assertThat(counts.count("a")).isZero();
    }
}
