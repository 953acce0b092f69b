/** Runs a member of a Raft group on its own thread, independent of the replicated state. */
package org.bankturn.daemon.member;
