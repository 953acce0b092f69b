package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.bankturn.time.ManualClock;

/**
 * Replays, in virtual time, a gateway whose open connections to all targets go silent at one moment while new ones work.
 *
 * <p>A request takes the connection of its target that was kept last, or a new one; it is answered by a word every 40 ms. A
 * request that hears nothing for as long as {@link SilenceTimeout} allows goes to the next target, once.
 */
final class SilenceReplay {
    private static final long STEP_MILLIS = 4;
    private static final long BETWEEN_REQUESTS_MILLIS = 12;
    private static final long BETWEEN_WORDS_MILLIS = 40;
    private static final int WORDS = 8;
    private static final int TARGETS = 8;
    /** Connections to each target that a busier moment before has left. */
    private static final int KEPT_BEFORE = 16;

    private static final int SENDS = 2;
    private static final long OBJECTIVE_MILLIS = 300;
    private static final long SILENCE_MILLIS = 2_000;
    private static final long LOOKED_AT_MILLIS = 1_000;
    private static final long END_MILLIS = 6_000;

    private final ManualClock clock = ManualClock.startingAt(1_000_000);
    private final long beginMillis = clock.millis();
    private final ConnectionReusePolicy trust;
    private final boolean learns;
    private final List<Deque<Connection>> kept = new ArrayList<>();
    private final List<Connection> open = new ArrayList<>();
    private final List<Request> underWay = new ArrayList<>();
    private int requests;
    private int inTime;
    private int ranIntoSilence;

    private static final class Connection {
        private final long openedMillis;
        private long heardMillis;
        private boolean silent;

        Connection(long openedMillis) {
            this.openedMillis = openedMillis;
            this.heardMillis = openedMillis;
        }
    }

    private static final class Request {
        private final long arrivedMillis;
        private int target;
        private int sends;
        private int words;
        private long heardMillis;
        private Connection connection;
        private ConnectionReusePolicy.PendingRequest wait;

        Request(long arrivedMillis, int target) {
            this.arrivedMillis = arrivedMillis;
            this.target = target;
        }
    }

    /** Plays the load; with {@code learns} false every kept connection is trusted. */
    static SilenceReplay play(boolean learns) {
        SilenceReplay replay = new SilenceReplay(learns);
        while (replay.elapsedMillis() < END_MILLIS) {
            replay.step();
        }
        return replay;
    }

    private SilenceReplay(boolean learns) {
        this.learns = learns;
        this.trust = ConnectionReusePolicy.of(clock, Long.MAX_VALUE);
        for (int target = 0; target < TARGETS; target++) {
            Deque<Connection> connections = new ArrayDeque<>();
            for (int number = 0; number < KEPT_BEFORE; number++) {
                connections.add(opened());
            }
            kept.add(connections);
        }
    }

    /** Returns the requests that arrived in the second after the silence began and were answered in time. */
    int inTime() {
        return inTime;
    }

    /** Returns how often a request went out on a connection that was silent already. */
    int ranIntoSilence() {
        return ranIntoSilence;
    }

    private long elapsedMillis() {
        return clock.millis() - beginMillis;
    }

    private void step() {
        clock.advance(STEP_MILLIS);
        if (elapsedMillis() == SILENCE_MILLIS) {
            open.forEach(connection -> connection.silent = true);
        }
        if (elapsedMillis() % BETWEEN_REQUESTS_MILLIS == 0) {
            Request arrived = new Request(clock.millis(), requests++ % TARGETS);
            underWay.add(arrived);
            send(arrived);
        }
        List.copyOf(underWay).forEach(this::goOn);
    }

    private void send(Request request) {
        request.sends++;
        request.connection = connectionTo(request.target);
        request.wait = trust.requestSent("target-" + request.target);
        request.heardMillis = clock.millis();
        ranIntoSilence += request.connection.silent ? 1 : 0;
    }

    private Connection connectionTo(int target) {
        Deque<Connection> connections = kept.get(target);
        while (!connections.isEmpty()) {
            Connection connection = connections.pollLast();
            if (!learns || trust.isReusable(connection.heardMillis)) {
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

    private void goOn(Request request) {
        long sinceMillis = clock.millis() - request.heardMillis;
        if (!request.connection.silent && sinceMillis >= BETWEEN_WORDS_MILLIS) {
            word(request);
        } else if (sinceMillis >= bound(request)) {
            takeAway(request, sinceMillis);
        }
    }

    private static long bound(Request request) {
        return request.words == 0
                ? SilenceTimeout.beforeFirstEventMillis(OBJECTIVE_MILLIS, BETWEEN_WORDS_MILLIS, false)
                : SilenceTimeout.betweenEventsMillis(false);
    }

    private void word(Request request) {
        request.heardMillis = clock.millis();
        request.connection.heardMillis = clock.millis();
        trust.dataReceived(request.connection.openedMillis);
        request.words++;
        if (request.words == WORDS) {
            end(request);
            kept.get(request.target).addLast(request.connection);
            countIfInTime(request);
        }
    }

    private void countIfInTime(Request request) {
        long after = request.arrivedMillis - beginMillis - SILENCE_MILLIS;
        boolean lookedAt = after >= 0 && after < LOOKED_AT_MILLIS;
        inTime += lookedAt && request.sends == 1 ? 1 : 0;
    }

    private void takeAway(Request request, long silentMillis) {
        end(request);
        trust.timedOut(clock.millis() - silentMillis / 2);
        if (request.sends < SENDS) {
            request.target = (request.target + 1) % TARGETS;
            underWay.add(request);
            send(request);
        }
    }

    private void end(Request request) {
        underWay.remove(request);
        trust.requestEnded(request.wait);
    }
}
