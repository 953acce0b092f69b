package org.bankturn.daemon.weights;

/** What an engine does with the answers under way when it is told to take up other weights. */
public enum ChangeMethod {
    /** It ends them first and takes nothing new meanwhile, which takes as long as the longest answer. */
    AFTER_ANSWERS,

    /** It breaks them off and changes at once; whoever asked goes on elsewhere after the last event. */
    AT_ONCE
}
