/** Durable storage of the Raft state: a log of checksummed records and a snapshot. Sizes are in bytes. */
package org.bankturn.storage;
