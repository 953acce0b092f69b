/**
 * MessagePack encoding of records for the log, snapshots and messages between processes, and DEFLATE compression.
 */
package org.bankturn.codec;
