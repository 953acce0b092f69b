/**
 * MessagePack encoding of typed records, for the log, for snapshots and for messages between processes.
 */
package org.bankturn.codec;
