/**
 * The entry role: callers' HTTP in, admission, claims, dispatch to targets, answers streamed back.
 */
package org.bankturn.daemon.entry;
