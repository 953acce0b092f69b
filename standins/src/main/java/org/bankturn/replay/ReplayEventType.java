package org.bankturn.replay;

/** The events that a load pattern injects into a replay. */
public enum ReplayEventType {
    /** New engines join. */
    JOIN {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** The engine is unresponsive for a while. */
    DARK {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.becomeUnresponsive();
            time.schedule((double) event.forMillis(), engine::recover);
        }
    },
    /** The engine crashes: its answers are cut off, its address refuses connections, and it restarts empty. */
    CRASH {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.crash((double) event.forMillis());
        }
    },
    /** A request that crashes every engine that runs it is sent repeatedly to random gateways. */
    DEADLY {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** Different requests that share a first part of their prompts, which crashes every engine, are sent. */
    DEADLY_FIRST_PART {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** Different requests that share a second part of their prompts, which crashes every engine, are sent. */
    DEADLY_SECOND_PART {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** The engine is slower by a factor for a while. */
    SLOW {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            engine.setSlowdown(event.factor());
            time.schedule((double) event.forMillis(), () -> engine.setSlowdown(1));
        }
    },
    /** Each engine is slower by a factor for a percentage of the time, in periods that start at random times. */
    SLOW_PERIODS {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {
            SLOW.apply(engine, event, time);
        }
    },
    /** A percentage of all requests moves to the gateways of the first data hall. */
    SHIFT {
        @Override
        void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time) {}
    },
    /** The engine updates its weights: its answers are cut off, and it starts none for a while. */
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

    /** Announces a planned event to the engine; does nothing for unplanned ones. */
    void announce(ReplayedEngine engine, double atMillis) {}

    /** Applies the event to an engine. */
    abstract void apply(ReplayedEngine engine, LoadPattern.Event event, VirtualClock time);
}
