/** Leases with fencing tokens and bounded clock drift. Durations are in milliseconds. */
package org.bankturn.lease;
