/** Distribution of weights to the engines of targets, peer to peer between boxes and through relays. */
package org.bankturn.daemon.weights;
