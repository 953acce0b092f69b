/**
 * Agreement among the control boxes as a pure state machine, after Raft (Ongaro, 2014): messages and ticks in; entries to sync, messages to send and entries to apply out. specs/Agreement.tla uses the same action names.
 */
package org.bankturn.agreement;
