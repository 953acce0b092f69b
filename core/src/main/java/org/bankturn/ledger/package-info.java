/**
 * The ledger of requests that must run at most once, kept in the agreement log. Times are in milliseconds.
 */
package org.bankturn.ledger;
