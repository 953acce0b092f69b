package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.bankturn.time.ManualClock;

/**
 * Simulates, in virtual time, a gateway whose open connections all become silent at one time while new ones work.
 *
 * <p>A request uses the most recently pooled connection of its target, or a new one, and receives a chunk every 40 ms.
 * After a silence of {@link SilenceTimeout} it is retried once at the next target.
 */
final class SilenceReplay {
    private static final long STEP_MILLIS = 4;
    private static final long REQUEST_INTERVAL_MILLIS = 12;
    private static final long CHUNK_INTERVAL_MILLIS = 40;
    private static final int CHUNKS_PER_ANSWER = 8;
    private static final int TARGETS = 8;
    /** The pooled connections to each target at the start. */
    private static final int IDLE_CONNECTIONS = 16;

    private static final int SENDS = 2;
    private static final long OBJECTIVE_MILLIS = 300;
    private static final long SILENCE_MILLIS = 2_000;
    private static final long MEASURED_MILLIS = 1_000;
    private static final long END_MILLIS = 6_000;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final long beginMillis = clock.millis();
    private final ConnectionReusePolicy reusePolicy;
    private final boolean detectsSilence;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final List<Connection> open = new ArrayList<>();
    private final List<Request> inFlight = new ArrayList<>();
    private int requests;
    private int inTime;
    private int sentOnSilentConnections;

    private static final class Connection {
        private final long openedMillis;
        private long lastReceivedMillis;
        private boolean silent;

        Connection(long openedMillis) {
            this.openedMillis = openedMillis;
            this.lastReceivedMillis = openedMillis;
        }
    }

    private static final class Request {
        private final long arrivedMillis;
        private int target;
        private int sends;
        private int chunks;
        private long lastReceivedMillis;
        private Connection connection;
        private ConnectionReusePolicy.PendingRequest pending;

        Request(long arrivedMillis, int target) {
            this.arrivedMillis = arrivedMillis;
            this.target = target;
        }
    }

    /** Runs the simulation; without detection, every pooled connection is reused. */
    static SilenceReplay simulate(boolean detectsSilence) {
        SilenceReplay replay = new SilenceReplay(detectsSilence);
        while (replay.elapsedMillis() < END_MILLIS) {
            replay.step();
        }
        return replay;
    }

    private SilenceReplay(boolean detectsSilence) {
        this.detectsSilence = detectsSilence;
        this.reusePolicy = ConnectionReusePolicy.of(clock, Long.MAX_VALUE);
        for (int target = 0; target < TARGETS; target++) {
            Deque<Connection> connections = new ArrayDeque<>();
            for (int number = 0; number < IDLE_CONNECTIONS; number++) {
                connections.add(opened());
            }
            idle.add(connections);
        }
    }

    /** Returns the requests that arrived in the second after the silence began and were answered in time. */
    int inTime() {
        return inTime;
    }

    /** Returns how often a request was sent on a connection that was already silent. */
    int sentOnSilentConnections() {
        return sentOnSilentConnections;
    }

    private long elapsedMillis() {
        return clock.millis() - beginMillis;
    }

    private void step() {
        clock.advance(STEP_MILLIS);
        if (elapsedMillis() == SILENCE_MILLIS) {
            open.forEach(connection -> connection.silent = true);
        }
        if (elapsedMillis() % REQUEST_INTERVAL_MILLIS == 0) {
            Request arrived = new Request(clock.millis(), requests++ % TARGETS);
            inFlight.add(arrived);
            send(arrived);
        }
        List.copyOf(inFlight).forEach(this::advance);
    }

    private void send(Request request) {
        request.sends++;
        request.connection = connectionTo(request.target);
        request.pending = reusePolicy.requestSent("target-" + request.target);
        request.lastReceivedMillis = clock.millis();
        sentOnSilentConnections += request.connection.silent ? 1 : 0;
    }

    private Connection connectionTo(int target) {
        Deque<Connection> connections = idle.get(target);
        while (!connections.isEmpty()) {
            Connection connection = connections.pollLast();
            if (!detectsSilence || reusePolicy.isReusable(connection.lastReceivedMillis)) {
                return connection;
            }
        }
        return opened();
    }

    private Connection opened() {
        Connection connection = new Connection(clock.millis());
        open.add(connection);
        return connection;
    }

    private void advance(Request request) {
        long sinceMillis = clock.millis() - request.lastReceivedMillis;
        if (!request.connection.silent && sinceMillis >= CHUNK_INTERVAL_MILLIS) {
            receiveChunk(request);
        } else if (sinceMillis >= timeout(request)) {
            failOver(request, sinceMillis);
        }
    }

    private static long timeout(Request request) {
        return request.chunks == 0
                ? SilenceTimeout.beforeFirstEventMillis(OBJECTIVE_MILLIS, CHUNK_INTERVAL_MILLIS, false)
                : SilenceTimeout.betweenEventsMillis(false);
    }

    private void receiveChunk(Request request) {
        request.lastReceivedMillis = clock.millis();
        request.connection.lastReceivedMillis = clock.millis();
        reusePolicy.dataReceived(request.connection.openedMillis);
        request.chunks++;
        if (request.chunks == CHUNKS_PER_ANSWER) {
            end(request);
            idle.get(request.target).addLast(request.connection);
            countIfInTime(request);
        }
    }

    private void countIfInTime(Request request) {
        long after = request.arrivedMillis - beginMillis - SILENCE_MILLIS;
        boolean measured = after >= 0 && after < MEASURED_MILLIS;
        inTime += measured && request.sends == 1 ? 1 : 0;
    }

    private void failOver(Request request, long silentMillis) {
        end(request);
        reusePolicy.timedOut(clock.millis() - silentMillis / 2);
        if (request.sends < SENDS) {
            request.target = (request.target + 1) % TARGETS;
            inFlight.add(request);
            send(request);
        }
    }

    private void end(Request request) {
        inFlight.remove(request);
        reusePolicy.requestEnded(request.pending);
    }
}
