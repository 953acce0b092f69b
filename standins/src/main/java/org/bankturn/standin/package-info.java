/**
 * Stand-ins for the external systems of bankturn: model engine, weight origin, box list and plain service. Each
 * implements the HTTP protocol of the real system and records what tests need to verify.
 */
package org.bankturn.standin;
