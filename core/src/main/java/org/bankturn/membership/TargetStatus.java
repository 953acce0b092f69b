package org.bankturn.membership;

import java.util.List;

/**
 * What a target process says to the entry processes that may send it requests.
 *
 * @param box the box's name, not null
 * @param loaded the manifests that its engine serves, not null
 * @param leaving true if it takes no new work
 * @param running the requests that it works on, from all entry processes
 */
public record TargetStatus(String box, List<String> loaded, boolean leaving, int running) {}
