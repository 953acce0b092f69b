package org.bankturn.state.query;

import java.util.List;
import java.util.Map;
import org.bankturn.configuration.FileRecord;

/**
 * What `bankturn show` and `bankturn history` show.
 *
 * @param index the configuration index
 * @param digest the configuration's digest, not null
 * @param files the files, with texts for what is in force, without for the history, not null
 * @param inService the manifest in service by model, not null
 */
public record ShowReply(long index, String digest, List<FileRecord> files, Map<String, String> inService) {}
