package org.bankturn.daemon.wire;

/**
 * A request or the reply to one, as it stands in a frame.
 *
 * @param correlation the number that the asker gave the request
 * @param request the request, null in a reply
 * @param reply the reply, null in a request
 */
record Frame(long correlation, NodeRequest request, NodeReply reply) {}
