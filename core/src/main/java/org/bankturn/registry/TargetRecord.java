package org.bankturn.registry;

/**
 * A registered target.
 *
 * @param sighting the content of its last recorded heartbeat, not null
 * @param changedIndex the index of the log entry that last changed this record
 */
public record TargetRecord(TargetSighting sighting, long changedIndex) {}
