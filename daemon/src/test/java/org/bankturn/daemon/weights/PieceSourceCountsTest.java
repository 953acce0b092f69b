package org.bankturn.daemon.weights;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PieceSourceCountsTest {
    private final PieceSourceCounts tally = new PieceSourceCounts();

    @Test
    void the_source_of_most_pieces_is_named() {
        tally.add("10.0.0.1:7");
        tally.add("10.0.0.2:7");
        tally.add("10.0.0.2:7");
        assertThat(tally.topSource()).isEqualTo("10.0.0.2:7");
        assertThat(tally.count("10.0.0.2:7")).isEqualTo(2);
        assertThat(tally.sourceCount()).isEqualTo(2);
    }

    @Test
    void of_equal_sources_the_first_by_name_is_named_so_that_logs_can_be_compared() {
        tally.add("b");
        tally.add("a");
        assertThat(tally.topSource()).isEqualTo("a");
    }

    @Test
    void nothing_taken_names_no_source() {
        assertThat(tally.topSource()).isEmpty();
        assertThat(tally.count("a")).isZero();
    }
}
