package org.bankturn.daemon.http;

import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Accounts for the output that the clients of a listener have not read yet, and selects the connection to close when
 * there is too much of it.
 *
 * <p>SendQueueBudget is confined to one thread, apart from {@link #queuedBytes()}.
 *
 * @param <C> the type of the connections
 */
final class SendQueueBudget<C extends SendQueueBudget.Holder> {
    /** The time after which a client counts as not reading; a lost packet is sent again within a shorter time. */
    static final long STOPPED_READING_MILLIS = 1_000;

    private final SendQueueLimits limits;
    private final Set<C> holders = new HashSet<>();
    private volatile long queuedBytes;

    /** A connection that holds queued output. */
    interface Holder {
        /** Returns the size of the output that is not written completely, in bytes. */
        long queuedBytes();

        /** Returns since when the client has not read any of it, in milliseconds. */
        long unreadSinceMillis();

        /** Returns the number of the current write, which orders connections whose times are equal. */
        long writeNumber();
    }

    SendQueueBudget(SendQueueLimits limits) {
        this.limits = limits;
    }

    /** Returns the queued output of all connections, in bytes. */
    long queuedBytes() {
        return queuedBytes;
    }

    /** Records that the queued output of a connection has become larger, or smaller if the change is negative. */
    void changed(C connection, long change) {
        long total = queuedBytes + change;
        queuedBytes = total;
        if (connection.queuedBytes() > 0) {
            holders.add(connection);
        } else {
            holders.remove(connection);
        }
    }

    /** Returns true if a bound is exceeded after the output of a connection changed. */
    boolean isExceededBy(C connection) {
        return connection.queuedBytes() > limits.connectionBytes() || queuedBytes > limits.softTotalBytes();
    }

    /** Returns the connection to close: the one that has not been read for the longest time, empty if there is none. */
    Optional<C> connectionToClose(long nowMillis) {
        boolean tooMuch = queuedBytes > limits.softTotalBytes();
        boolean farTooMuch = queuedBytes > limits.hardTotalBytes();
        return holders.stream()
                .filter(each -> tooMuch || each.queuedBytes() > limits.connectionBytes())
                .filter(each -> farTooMuch || nowMillis - each.unreadSinceMillis() >= STOPPED_READING_MILLIS)
                .min(Comparator.comparingLong(Holder::unreadSinceMillis).thenComparingLong(Holder::writeNumber));
    }
}
