/** At-most-once execution of requests with idempotency keys. Times are in milliseconds. */
package org.bankturn.ledger;
