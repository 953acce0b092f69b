/** Which box asks which other for a piece of weights, so that the origin and links between data halls carry one copy. */
package org.bankturn.weights;
