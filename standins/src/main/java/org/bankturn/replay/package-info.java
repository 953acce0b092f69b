/** Simulates load on the gateways' routing decisions, in virtual time and without a network or processes. */
package org.bankturn.replay;
