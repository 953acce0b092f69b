/**
 * HTTP/1.1 on plain sockets, for hops where it matters whether a byte left, whether the end was seen, and whose answer it
 * is. ActiveJ's own client and server hide these.
 */
package org.bankturn.daemon.http;
