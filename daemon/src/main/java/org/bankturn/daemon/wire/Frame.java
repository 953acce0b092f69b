package org.bankturn.daemon.wire;

/**
 * The content of a frame: a request or the reply to one.
 *
 * @param correlation the identifier that the client assigned to the request
 * @param request the request, null in a reply
 * @param reply the reply, null in a request
 */
record Frame(long correlation, NodeRequest request, NodeReply reply) {}
