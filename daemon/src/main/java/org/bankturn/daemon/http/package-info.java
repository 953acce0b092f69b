/**
 * HTTP/1.1 on plain sockets, for connections that must expose whether a request was sent, whether a message was complete
 * and which request a response belongs to. ActiveJ's own client and server do not report these.
 */
package org.bankturn.daemon.http;
