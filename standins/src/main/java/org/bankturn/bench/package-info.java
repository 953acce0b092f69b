/**
 * The bench: measurements of the burst with real processes and of the pure planner, printed as JSON.
 */
package org.bankturn.bench;
