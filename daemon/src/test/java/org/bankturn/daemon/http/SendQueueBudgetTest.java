package org.bankturn.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class SendQueueBudgetTest {
    private static final long NOW = 1_000;
    private static final long BYTES = 10;
    private static final int CONNECTIONS = 20;

    private final SendQueueBudget<Connection> budget = new SendQueueBudget<>(new SendQueueLimits(100, 100, 15));

    /** Collections that are ordered by hash iterate over later writes first. */
    private record Connection(long queuedBytes, long unreadSinceMillis, long writeNumber)
            implements SendQueueBudget.Holder {
        @Override
        public int hashCode() {
            return CONNECTIONS - (int) writeNumber;
        }
    }

    /** Guards against a client that reads being closed in place of one that stopped reading in the same millisecond. */
    @Test
    void of_clients_unread_since_the_same_time_the_one_that_read_first_is_closed() {
        for (long number = 1; number <= CONNECTIONS; number++) {
            budget.changed(new Connection(BYTES, NOW, number), BYTES);
        }
        assertThat(budget.connectionToClose(NOW))
                .hasValueSatisfying(closed -> assertThat(closed.writeNumber()).isEqualTo(1));
    }
}
