package org.bankturn.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * The published gateways as this gateway saw them, and whether it is among those chosen for a cold target.
 *
 * <p>Gateways learn of a change at different times. So that the chosen ones of a former view and those of the next do not
 * send at the same time, a view counts only for a while after it was last confirmed, and a gateway that takes the place of
 * another waits as long. It also waits for a whole interval after its start, because it does not know what it sent before.
 *
 * <p>GatewayViews is mutable and not thread-safe.
 */
final class GatewayViews {
    /**
     * The time for which a confirmed view counts. A follower confirms its view about every 500 ms, and within 2,000 ms if
     * it has to change to another control process.
     */
    static final long VIEW_TTL_MILLIS = 2_500;

    /** The bound on remembered views; with fewer of them the gateway waits longer. */
    private static final int MAX_VIEWS = 64;

    private static final int MAX_CACHED_CHOICES = 1_024;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Deque<View> views = new ArrayDeque<>();
    private String self = "";
    private long confirmedMillis = NEVER;

    /** The published gateways during a period, and the choices made from them. */
    private static final class View {
        private final Map<String, String> dataHalls;
        private final long sinceMillis;
        private final Map<String, Boolean> choices = new HashMap<>();

        private View(Map<String, String> dataHalls, long sinceMillis) {
            this.dataHalls = dataHalls;
            this.sinceMillis = sinceMillis;
        }

        private boolean isChosen(String self, String target, String targetHall, int count) {
            if (!dataHalls.containsKey(self)) {
                return false;
            }
            if (choices.size() >= MAX_CACHED_CHOICES) {
                choices.clear();
            }
            return choices.computeIfAbsent(
                    count + " " + target + " " + targetHall, key -> rank(self, target, targetHall) < count);
        }

        /** Returns the number of gateways that come before this one (rendezvous hashing, the target's hall first). */
        private long rank(String self, String target, String targetHall) {
            return dataHalls.keySet().stream()
                    .filter(other -> precedes(other, self, target, targetHall))
                    .count();
        }

        private boolean precedes(String other, String self, String target, String targetHall) {
            boolean otherIsLocal = targetHall.equals(dataHalls.get(other));
            boolean selfIsLocal = targetHall.equals(dataHalls.get(self));
            if (otherIsLocal != selfIsLocal) {
                return otherIsLocal;
            }
            int byHash = Long.compare(TextHash.of(other + " " + target), TextHash.of(self + " " + target));
            return byHash != 0 ? byHash > 0 : other.compareTo(self) > 0;
        }
    }

    /**
     * Sets the published gateways.
     *
     * @param ownName the name of this gateway, not null
     * @param dataHalls the data hall of each published gateway, not null
     * @param nowMillis the current time
     */
    void update(String ownName, Map<String, String> dataHalls, long nowMillis) {
        self = ownName;
        if (views.isEmpty() || !views.peekLast().dataHalls.equals(dataHalls)) {
            views.addLast(new View(Map.copyOf(dataHalls), nowMillis));
        }
        if (views.size() > MAX_VIEWS) {
            views.removeFirst();
        }
    }

    /**
     * Records that the latest view was current at a time; after a gap, the views before it are forgotten.
     *
     * @param atMillis a time at which the view was current
     * @param nowMillis the current time
     */
    void confirmed(long atMillis, long nowMillis) {
        if (atMillis - confirmedMillis > VIEW_TTL_MILLIS && !views.isEmpty()) {
            View latest = views.peekLast();
            views.clear();
            views.addLast(new View(latest.dataHalls, nowMillis));
        }
        confirmedMillis = Math.max(confirmedMillis, atMillis);
    }

    /**
     * Returns the time until this gateway may send to a cold target as one of the chosen; Long.MAX_VALUE if it may not by
     * what it knows now.
     *
     * @param target the target's incarnation, not null
     * @param targetHall the target's data hall, not null
     * @param share the number of chosen gateways and their interval, not null
     * @param nowMillis the current time
     */
    long untilPermittedMillis(String target, String targetHall, SlowStartShare share, long nowMillis) {
        boolean isCurrent = nowMillis - confirmedMillis <= VIEW_TTL_MILLIS;
        if (!isCurrent || views.isEmpty() || !views.peekLast().isChosen(self, target, targetHall, share.gateways())) {
            return Long.MAX_VALUE;
        }
        long fromMillis = views.peekFirst().sinceMillis + share.intervalMillis();
        View before = null;
        for (View view : views) {
            boolean matters = nowMillis - view.sinceMillis < SlowStartShare.MAX_INTERVAL_MILLIS;
            if (before != null && matters && !before.isChosen(self, target, targetHall, share.gateways())) {
                // a view with a free place shows that no other gateway is displaced
                boolean hadFreePlace = before.dataHalls.size() < share.gateways();
                long pause = hadFreePlace ? share.intervalMillis() : Math.max(VIEW_TTL_MILLIS, share.intervalMillis());
                fromMillis = Math.max(fromMillis, view.sinceMillis + pause);
            }
            before = view;
        }
        return Math.max(0, fromMillis - nowMillis);
    }
}
