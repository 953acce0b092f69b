/**
 * The protocol between bankturn processes: MessagePack records in length-prefixed frames over TCP.
 */
package org.bankturn.daemon.wire;
