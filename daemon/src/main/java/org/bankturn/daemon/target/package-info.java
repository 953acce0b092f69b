/**
 * The target role: copies weights and serves chunks, orders its engine, and guards the last hop of requests.
 */
package org.bankturn.daemon.target;
