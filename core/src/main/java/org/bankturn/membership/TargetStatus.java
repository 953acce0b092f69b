package org.bankturn.membership;

import java.util.List;

/**
 * The status that a target process reports to entry processes.
 *
 * @param box the name of the box, not null
 * @param loaded the manifests that the engine serves, not null
 * @param leaving true if the target accepts no new work
 * @param running the number of requests in progress, from all entry processes
 */
public record TargetStatus(String box, List<String> loaded, boolean leaving, int running) {}
