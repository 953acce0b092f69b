/**
 * The Raft consensus algorithm (Ongaro, 2014) as a deterministic state machine without I/O. Its inputs are messages and
 * clock ticks; its outputs are entries to persist, messages to send and committed entries to apply. Modelled in
 * {@code specs/Agreement.tla}.
 */
package org.bankturn.agreement;
