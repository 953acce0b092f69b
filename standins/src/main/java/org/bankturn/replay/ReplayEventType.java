package org.bankturn.replay;

/** What may happen to an engine in a replay. */
public enum ReplayEventType {
    /** It is not there before, and joins. */
    JOIN {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** It falls silent, and is back after a while. */
    DARK {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.becomeUnresponsive();
            time.schedule((double) event.forMillis(), engine::recover);
        }
    },
    /** It ends: answers under way break off, its address refuses connections, and it is back empty after a while. */
    CRASH {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.crash((double) event.forMillis());
        }
    },
    /** A request that ends each engine that begins to run it comes to any gateway, again and again for a while. */
    DEADLY {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** It is slower by a factor for a while. */
    SLOW {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.setSlowdown(event.factor());
            time.schedule((double) event.forMillis(), () -> engine.setSlowdown(1));
        }
    },
    /** It takes up newer weights at once: answers under way are cut, and it takes nothing for a while. */
    CHANGE {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.updateWeights((double) event.forMillis());
        }

        @Override
        void announce(ReplayedEngine engine, double atMillis) {
            engine.announceUpdate(atMillis);
        }
    };

    /** Lets an engine know of it ahead, if it is of the kind that one knows of. */
    void announce(ReplayedEngine engine, double atMillis) {}

    /** Lets it happen to an engine that is there. */
    abstract void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time);
}
