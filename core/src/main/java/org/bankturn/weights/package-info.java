/** Routing of weight pieces between boxes, such that the origin and each inter-hall link carry a single copy. */
package org.bankturn.weights;
