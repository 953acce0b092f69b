/**
 * The entry role: admits callers' HTTP requests, claims idempotency keys, dispatches requests to targets and streams
 * their responses back.
 */
package org.bankturn.daemon.entry;
