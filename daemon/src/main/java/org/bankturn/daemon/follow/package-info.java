/**
 * Following the configuration in force, and passing reports upward.
 */
package org.bankturn.daemon.follow;
