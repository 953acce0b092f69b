package org.bankturn.state.query;

import java.util.List;
import java.util.Map;
import org.bankturn.configuration.FileRecord;

/**
 * The reply to the {@code show} and {@code history} operator commands.
 *
 * @param index the index of the configuration
 * @param digest the digest of the configuration, not null
 * @param files the files, with their text for the current configuration and without it for the history, not null
 * @param inService the manifest in service for each model, not null
 */
public record ShowReply(long index, String digest, List<FileRecord> files, Map<String, String> inService) {}
