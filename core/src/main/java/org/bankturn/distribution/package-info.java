/**
 * Moving weights: manifests, verified chunk files, which chunk to take from whom, and the budget of the origin. Sizes are in bytes, rates in bytes a second.
 */
package org.bankturn.distribution;
