/** The commands of the replicated state machine and their results. */
package org.bankturn.state.command;
