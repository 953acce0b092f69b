/**
 * Leases with growing fences. Durations are in milliseconds; both sides count with a stated bound on clock drift.
 */
package org.bankturn.lease;
