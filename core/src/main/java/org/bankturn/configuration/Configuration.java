package org.bankturn.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.bankturn.document.DocumentError;
import org.bankturn.result.ResultCode;

/**
 * The configuration in force: the newest accepted operator files and the version of each model that is in service.
 *
 * <p>Configurations with the same index have the same digest. A process never replaces its configuration by one with a
 * lower index.
 *
 * <p>Configuration is thread-safe and immutable.
 */
public final class Configuration {
    private static final Configuration EMPTY = new Configuration(0, new TreeMap<>(), new TreeMap<>());

    private final long index;
    private final Map<String, AcceptedFile> files;
    private final Map<String, String> inService;
    private final String digest;
    private final Map<String, DataHall> dataHalls;
    private final Map<String, Box> boxes;
    private final Map<String, Model> models;
    private final Map<String, ModelVersion> versions;
    private final Map<String, Service> services;
    private final Map<String, ClientAccount> clientAccounts;
    private final Map<String, Map<String, List<Box>>> usableBoxes;

    /** Returns the empty configuration with index 0, not null. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Creates a configuration from accepted files.
     *
     * @param index the configuration index
     * @param files the newest accepted files, not null
     * @param inService the manifest in service by model name, not null
     * @return the configuration, not null
     */
    public static Configuration of(long index, List<FileRecord> files, Map<String, String> inService) {
        return EMPTY.withFiles(index, files, inService);
    }

    private Configuration(long index, Map<String, AcceptedFile> files, Map<String, String> inService) {
        this.index = index;
        this.files = files;
        this.inService = inService;
        List<OperatorFile> contents =
                files.values().stream().map(file -> file.parsed().content()).toList();
        this.dataHalls = collect(contents, OperatorFile::dataHalls, DataHall::name);
        this.boxes = collect(contents, OperatorFile::boxes, Box::name);
        this.models = collect(contents, OperatorFile::models, Model::name);
        this.versions = collect(contents, OperatorFile::versions, version -> version.model() + "/" + version.name());
        this.services = collect(contents, OperatorFile::services, Service::name);
        this.clientAccounts = collect(contents, OperatorFile::clientAccounts, ClientAccount::name);
        this.usableBoxes = boxes.values().stream()
                .filter(this::isUsable)
                .collect(Collectors.groupingBy(Box::service, Collectors.groupingBy(Box::dataHall)));
        this.digest = computeDigest();
    }

    // ---- queries

    /** Returns the index, 0 for the empty configuration. */
    public long index() {
        return index;
    }

    /** Returns the SHA-256 digest of the index, the files and the manifests in service, not null. */
    public String digest() {
        return digest;
    }

    /** Returns the newest accepted files, ordered by name, not null. */
    public List<FileRecord> files() {
        return files.values().stream().map(AcceptedFile::record).toList();
    }

    /** Returns the manifest in service by model name, not null. */
    public Map<String, String> inService() {
        return Map.copyOf(inService);
    }

    /** Returns all data halls, not null. */
    public List<DataHall> dataHalls() {
        return List.copyOf(dataHalls.values());
    }

    /** Returns all boxes, not null. */
    public List<Box> boxes() {
        return List.copyOf(boxes.values());
    }

    /** Returns all models, not null. */
    public List<Model> models() {
        return List.copyOf(models.values());
    }

    /** Returns all client accounts, not null. */
    public List<ClientAccount> clientAccounts() {
        return List.copyOf(clientAccounts.values());
    }

    /**
     * Finds a box by name.
     *
     * @param name the name, not null
     * @return the box, empty if no file defines it
     */
    public Optional<Box> box(String name) {
        return Optional.ofNullable(boxes.get(name));
    }

    /**
     * Finds a model by name.
     *
     * @param name the name, not null
     * @return the model, empty if no file defines it
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds a service by name.
     *
     * @param name the name, not null
     * @return the service, empty if no file defines it
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds a client account by name.
     *
     * @param name the name, not null
     * @return the client account, empty if no file defines it
     */
    public Optional<ClientAccount> clientAccount(String name) {
        return Optional.ofNullable(clientAccounts.get(name));
    }

    /**
     * Finds the desired version of a model.
     *
     * @param model the model, not null
     * @return the version, empty if no file defines it
     */
    public Optional<ModelVersion> desiredVersion(Model model) {
        return Optional.ofNullable(versions.get(model.name() + "/" + model.version()));
    }

    /**
     * Finds the model that a box serves, if the model's weights are allowed in the data hall of the box.
     *
     * @param box the box, not null
     * @return the model, empty if the box serves a plain service or its data hall is not allowed
     */
    public Optional<Model> modelServedBy(Box box) {
        return service(box.service())
                .filter(Service::hasModel)
                .flatMap(service -> model(service.model()))
                .filter(model -> model.allowsDataHall(box.dataHall()));
    }

    /**
     * Returns the boxes that serve a model and are in data halls that the model allows.
     *
     * @param model the model, not null
     * @return the boxes, not null
     */
    public List<Box> boxesServing(Model model) {
        return services.values().stream()
                .filter(service -> model.name().equals(service.model()))
                .flatMap(service -> usableBoxes(service.name()).values().stream())
                .flatMap(List::stream)
                .toList();
    }

    /**
     * Returns the boxes of a service, excluding those in data halls that the service's model does not allow.
     *
     * @param service the service name, not null
     * @return the boxes by data hall, not null
     */
    public Map<String, List<Box>> usableBoxes(String service) {
        return usableBoxes.getOrDefault(service, Map.of());
    }

    /**
     * Validates a new version of an operator file against all other files in force.
     *
     * @param source the file name for error messages, not null
     * @param text the YAML text, not null
     * @return the errors, empty if the file is valid, not null
     */
    public List<DocumentError> check(String source, String text) {
        ParsedFile candidate = OperatorFileReader.read(source, text);
        if (!candidate.errors().isEmpty()) {
            return candidate.errors();
        }
        List<ParsedFile> all = new ArrayList<>();
        files.values().stream()
                .map(AcceptedFile::parsed)
                .filter(file ->
                        !file.content().name().equals(candidate.content().name()))
                .forEach(all::add);
        all.add(candidate);
        Map<NameOccurrence.Identity, Long> definitionCounts = all.stream()
                .flatMap(file -> file.definitions().stream())
                .collect(Collectors.groupingBy(NameOccurrence::identity, Collectors.counting()));
        return Stream.concat(
                        duplicateDefinitions(candidate, definitionCounts),
                        all.stream()
                                .flatMap(file -> file.references().stream())
                                .flatMap(name -> undefined(name, definitionCounts)))
                .toList();
    }

    /**
     * Parses the text of an operator file that has already been validated.
     *
     * @param text the YAML text, which must be valid, not null
     * @return the content, not null
     */
    public static OperatorFile parseFile(String text) {
        return OperatorFileReader.read("", text).content();
    }

    // ---- derived copies

    /**
     * Returns a copy of this configuration with a file added or replaced.
     *
     * @param file the validated file, not null
     * @return the configuration at the file's index, not null
     */
    public Configuration withFile(FileRecord file) {
        Map<String, AcceptedFile> changed = new TreeMap<>(files);
        changed.put(file.name(), AcceptedFile.parse(file));
        return new Configuration(file.index(), changed, inService);
    }

    /**
     * Returns a configuration with the given files, without parsing unchanged files again.
     *
     * @param atIndex the index
     * @param all the files, not null
     * @param manifests the manifest in service by model name, not null
     * @return the configuration, not null
     */
    Configuration withFiles(long atIndex, List<FileRecord> all, Map<String, String> manifests) {
        Map<String, AcceptedFile> byName = new TreeMap<>();
        for (FileRecord file : all) {
            AcceptedFile existing = files.get(file.name());
            boolean unchanged = existing != null && existing.record().equals(file);
            byName.put(file.name(), unchanged ? existing : AcceptedFile.parse(file));
        }
        return new Configuration(atIndex, byName, new TreeMap<>(manifests));
    }

    /**
     * Returns a copy of this configuration with a different manifest in service for a model.
     *
     * @param atIndex the index of the resulting configuration
     * @param model the model name, not null
     * @param manifest the manifest that enters service, not null
     * @return the configuration, not null
     */
    public Configuration withInService(long atIndex, String model, String manifest) {
        TreeMap<String, String> changed = new TreeMap<>(inService);
        changed.put(model, manifest);
        return new Configuration(atIndex, files, changed);
    }

    // ---- helpers

    private static <T> Map<String, T> collect(
            List<OperatorFile> contents, Function<OperatorFile, List<T>> list, Function<T, String> name) {
        return contents.stream()
                .flatMap(content -> list.apply(content).stream())
                .collect(Collectors.toMap(name, element -> element, (first, second) -> first, TreeMap::new));
    }

    /** An accepted file with its parsed content. */
    private record AcceptedFile(FileRecord record, ParsedFile parsed) {
        static AcceptedFile parse(FileRecord record) {
            return new AcceptedFile(record, OperatorFileReader.read(record.name(), record.text()));
        }
    }

    private boolean isUsable(Box box) {
        Service service = services.get(box.service());
        return service != null && (!service.hasModel() || modelServedBy(box).isPresent());
    }

    private static Stream<DocumentError> duplicateDefinitions(
            ParsedFile candidate, Map<NameOccurrence.Identity, Long> definitionCounts) {
        return candidate.definitions().stream()
                .filter(name -> definitionCounts.get(name.identity()) > 1)
                .map(name -> new DocumentError(
                        ResultCode.NAME_DUPLICATE,
                        name.location(),
                        name.kind().label() + " " + name.name() + " is defined more than once"));
    }

    private static Stream<DocumentError> undefined(
            NameOccurrence name, Map<NameOccurrence.Identity, Long> definitionCounts) {
        if (definitionCounts.containsKey(name.identity())) {
            return Stream.empty();
        }
        String message = name.kind().label() + " " + name.name() + " is not defined in any file";
        return Stream.of(new DocumentError(ResultCode.REFERENCE_UNKNOWN, name.location(), message));
    }

    private String computeDigest() {
        StringBuilder text = new StringBuilder().append(index);
        files().forEach(file -> text.append('\n')
                .append(file.name())
                .append(' ')
                .append(file.number())
                .append(' ')
                .append(file.index())
                .append(' ')
                .append(file.digest()));
        inService.forEach(
                (model, manifest) -> text.append('\n').append(model).append('=').append(manifest));
        return Digest.of(text.toString());
    }

    @Override
    public String toString() {
        return "Configuration[" + index + " " + digest.substring(0, 12) + "]";
    }
}
