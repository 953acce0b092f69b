/**
 * Commands: what may be put into the agreement log.
 */
package org.bankturn.state.command;
