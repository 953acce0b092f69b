package org.bankturn.registry;

/**
 * A target as the control group knows it.
 *
 * @param sighting what it said last, not null
 * @param changedIndex the log entry that last changed this record
 */
public record TargetRecord(TargetSighting sighting, long changedIndex) {}
