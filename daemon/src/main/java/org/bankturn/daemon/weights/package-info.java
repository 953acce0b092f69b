/** The process beside a target: brings named weights to its engine, and hands pieces on to its neighbours. */
package org.bankturn.daemon.weights;
