/**
 * The control role: a member of the control group, which replicates its state by Raft, and the client that finds the
 * leader of the group.
 */
package org.bankturn.daemon.control;
