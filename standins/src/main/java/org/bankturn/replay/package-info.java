/** Replays load through the decisions of gateways, in virtual time, without a network or processes. */
package org.bankturn.replay;
