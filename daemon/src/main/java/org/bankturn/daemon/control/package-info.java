/**
 * The control role: a member of the agreement group, and the client that finds its leader.
 */
package org.bankturn.daemon.control;
