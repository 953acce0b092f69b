package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The step from one configuration to a newer one: only the files that changed in between.
 *
 * @param baseIndex the index that it starts from
 * @param index the index that it leads to
 * @param digest the digest of the configuration that it leads to, not null
 * @param changedFiles the files accepted after {@code baseIndex}, not null
 * @param inService the manifest in service by model name, whole, not null
 */
public record ConfigurationUpdate(
        long baseIndex, long index, String digest, List<FileRecord> changedFiles, Map<String, String> inService) {
    /**
     * Makes the step from an index to a configuration.
     *
     * @param baseIndex the index that the receiver has
     * @param target the configuration to lead to, not null
     * @return the step, not null
     */
    public static ConfigurationUpdate between(long baseIndex, Configuration target) {
        List<FileRecord> changed =
                target.files().stream().filter(file -> file.index() > baseIndex).toList();
        return new ConfigurationUpdate(baseIndex, target.index(), target.digest(), changed, target.inService());
    }

    /**
     * Takes the step.
     *
     * @param base the configuration to start from, at {@code baseIndex}, not null
     * @return the newer configuration; empty if the result does not have the digest, so that all must be fetched
     */
    public Optional<Configuration> applyTo(Configuration base) {
        List<FileRecord> files = new ArrayList<>(baseIndex == 0 ? List.of() : base.files());
        files.removeIf(
                file -> changedFiles.stream().anyMatch(changed -> changed.name().equals(file.name())));
        files.addAll(changedFiles);
        Configuration result = base.withFiles(index, files, inService);
        return Optional.of(result).filter(made -> made.digest().equals(digest));
    }
}
