package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * An incremental update from one configuration to a newer one, which contains only the changed files.
 *
 * @param baseIndex the configuration index that the update applies to
 * @param index the configuration index after the update
 * @param digest the expected digest of the resulting configuration, not null
 * @param changedFiles the files accepted after {@code baseIndex}, not null
 * @param inService the complete map from model name to the manifest in service, not null
 */
public record ConfigurationUpdate(
        long baseIndex, long index, String digest, List<FileRecord> changedFiles, Map<String, String> inService) {
    /**
     * Creates the update from a configuration index to a configuration.
     *
     * @param baseIndex the configuration index of the receiver
     * @param target the resulting configuration, not null
     * @return the update, not null
     */
    public static ConfigurationUpdate between(long baseIndex, Configuration target) {
        List<FileRecord> changed =
                target.files().stream().filter(file -> file.index() > baseIndex).toList();
        return new ConfigurationUpdate(baseIndex, target.index(), target.digest(), changed, target.inService());
    }

    /**
     * Applies the update.
     *
     * @param base the configuration at {@code baseIndex}, not null
     * @return the resulting configuration; empty if its digest differs, in which case the receiver must fetch the whole
     *     configuration
     */
    public Optional<Configuration> applyTo(Configuration base) {
        List<FileRecord> files = new ArrayList<>(baseIndex == 0 ? List.of() : base.files());
        files.removeIf(
                file -> changedFiles.stream().anyMatch(changed -> changed.name().equals(file.name())));
        files.addAll(changedFiles);
        Configuration result = base.withFiles(index, files, inService);
        return Optional.of(result).filter(updated -> updated.digest().equals(digest));
    }
}
