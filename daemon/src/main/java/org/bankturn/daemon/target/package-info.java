/**
 * The target role: replicates model weights, serves chunks to peers, loads versions into the engine and forwards
 * admitted requests to it.
 */
package org.bankturn.daemon.target;
