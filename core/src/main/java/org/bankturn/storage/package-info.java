/**
 * Durable storage of the agreement log: checksummed records, a snapshot, and the fsync order that makes them last. Sizes are in bytes.
 */
package org.bankturn.storage;
