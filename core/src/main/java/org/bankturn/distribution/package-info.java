/** Chunked distribution of weights: manifests, verified chunk files, chunk selection and the budget of the origin. */
package org.bankturn.distribution;
