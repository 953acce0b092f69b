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
 * Everything that is in force: the newest accepted files, and which version of each model is in service.
 *
 * <p>Two configurations with the same index have the same digest. A process keeps the one with the highest index that it
 * has seen and never goes below it.
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

    /** Returns the configuration before any file, index 0, not null. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Puts a configuration together from accepted parts.
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
                .filter(this::mayBeUsed)
                .collect(Collectors.groupingBy(Box::service, Collectors.groupingBy(Box::dataHall)));
        this.digest = computeDigest();
    }

    // ---- queries

    /** Returns the index, 0 before any file; it only grows. */
    public long index() {
        return index;
    }

    /** Returns the SHA-256 over the index, the files and what is in service, not null. */
    public String digest() {
        return digest;
    }

    /** Returns the newest accepted files by name, not null. */
    public List<FileRecord> files() {
        return files.values().stream().map(AcceptedFile::record).toList();
    }

    /** Returns the manifest in service by model name, not null. */
    public Map<String, String> inService() {
        return Map.copyOf(inService);
    }

    /** Returns every hall, not null. */
    public List<DataHall> dataHalls() {
        return List.copyOf(dataHalls.values());
    }

    /** Returns every box, not null. */
    public List<Box> boxes() {
        return List.copyOf(boxes.values());
    }

    /** Returns every model, not null. */
    public List<Model> models() {
        return List.copyOf(models.values());
    }

    /** Returns every account, not null. */
    public List<ClientAccount> clientAccounts() {
        return List.copyOf(clientAccounts.values());
    }

    /**
     * Finds a box.
     *
     * @param name its name, not null
     * @return the box, empty if no file describes it
     */
    public Optional<Box> box(String name) {
        return Optional.ofNullable(boxes.get(name));
    }

    /**
     * Finds a model.
     *
     * @param name its name, not null
     * @return the model, empty if no file describes it
     */
    public Optional<Model> model(String name) {
        return Optional.ofNullable(models.get(name));
    }

    /**
     * Finds a service.
     *
     * @param name its name, not null
     * @return the service, empty if no file describes it
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Finds an account.
     *
     * @param name its name, not null
     * @return the account, empty if no file describes it
     */
    public Optional<ClientAccount> clientAccount(String name) {
        return Optional.ofNullable(clientAccounts.get(name));
    }

    /**
     * Finds the version that the operators want of a model.
     *
     * @param model the model, not null
     * @return the version, empty if no file describes it
     */
    public Optional<ModelVersion> desiredVersion(Model model) {
        return Optional.ofNullable(versions.get(model.name() + "/" + model.version()));
    }

    /**
     * Finds the model that a box serves and that may live in its hall.
     *
     * @param box the box, not null
     * @return the model, empty if the box serves a plain service or its hall is not allowed
     */
    public Optional<Model> modelServedBy(Box box) {
        return service(box.service())
                .filter(Service::hasModel)
                .flatMap(service -> model(service.model()))
                .filter(model -> model.allowsDataHall(box.dataHall()));
    }

    /**
     * Lists the boxes whose weights may come from each other: same model, halls that the model allows.
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
     * Lists the boxes of a service, without those in a hall that the service's model does not allow.
     *
     * @param service the service's name, not null
     * @return the boxes by hall, not null
     */
    public Map<String, List<Box>> usableBoxes(String service) {
        return usableBoxes.getOrDefault(service, Map.of());
    }

    /**
     * Checks a text as the next content of its file, against all other files in force.
     *
     * @param source the name to use in errors, not null
     * @param text the YAML text, not null
     * @return every error, empty if the file may be applied, not null
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
        Map<NameOccurrence.Identity, Long> definitions = all.stream()
                .flatMap(file -> file.definitions().stream())
                .collect(Collectors.groupingBy(NameOccurrence::identity, Collectors.counting()));
        return Stream.concat(
                        duplicates(candidate, definitions),
                        all.stream()
                                .flatMap(file -> file.references().stream())
                                .flatMap(name -> unknown(name, definitions)))
                .toList();
    }

    /**
     * Reads the name and number that a text gives for itself.
     *
     * @param text the YAML text, without errors by itself, not null
     * @return the content, not null
     */
    public static OperatorFile parseFile(String text) {
        return OperatorFileReader.read("", text).content();
    }

    // ---- derived copies

    /**
     * Returns this configuration with a file accepted.
     *
     * @param file the file, checked, not null
     * @return the next configuration, at the file's index, not null
     */
    public Configuration withFile(FileRecord file) {
        Map<String, AcceptedFile> changed = new TreeMap<>(files);
        changed.put(file.name(), AcceptedFile.read(file));
        return new Configuration(file.index(), changed, inService);
    }

    /**
     * Returns a configuration of the given files; files that this one has already are not read again.
     *
     * @param atIndex the index
     * @param all every file, not null
     * @param manifests the manifest in service by model name, not null
     * @return the configuration, not null
     */
    Configuration withFiles(long atIndex, List<FileRecord> all, Map<String, String> manifests) {
        Map<String, AcceptedFile> byName = new TreeMap<>();
        for (FileRecord file : all) {
            AcceptedFile known = files.get(file.name());
            boolean same = known != null && known.record().equals(file);
            byName.put(file.name(), same ? known : AcceptedFile.read(file));
        }
        return new Configuration(atIndex, byName, new TreeMap<>(manifests));
    }

    /**
     * Returns this configuration with a version in service.
     *
     * @param atIndex the index of the change
     * @param model the model's name, not null
     * @param manifest the manifest that enters service, not null
     * @return the next configuration, not null
     */
    public Configuration withInService(long atIndex, String model, String manifest) {
        TreeMap<String, String> changed = new TreeMap<>(inService);
        changed.put(model, manifest);
        return new Configuration(atIndex, files, changed);
    }

    // ---- helpers

    private static <T> Map<String, T> collect(
            List<OperatorFile> contents, Function<OperatorFile, List<T>> part, Function<T, String> name) {
        return contents.stream()
                .flatMap(content -> part.apply(content).stream())
                .collect(Collectors.toMap(name, thing -> thing, (first, second) -> first, TreeMap::new));
    }

    /** An accepted file with what was read from it. */
    private record AcceptedFile(FileRecord record, ParsedFile parsed) {
        static AcceptedFile read(FileRecord record) {
            return new AcceptedFile(record, OperatorFileReader.read(record.name(), record.text()));
        }
    }

    private boolean mayBeUsed(Box box) {
        Service service = services.get(box.service());
        return service != null && (!service.hasModel() || modelServedBy(box).isPresent());
    }

    private static Stream<DocumentError> duplicates(
            ParsedFile candidate, Map<NameOccurrence.Identity, Long> definitions) {
        return candidate.definitions().stream()
                .filter(name -> definitions.get(name.identity()) > 1)
                .map(name -> new DocumentError(
                        ResultCode.NAME_DUPLICATE,
                        name.location(),
                        name.kind().label() + " " + name.name() + " is described twice"));
    }

    private static Stream<DocumentError> unknown(NameOccurrence name, Map<NameOccurrence.Identity, Long> definitions) {
        if (definitions.containsKey(name.identity())) {
            return Stream.empty();
        }
        String message = "no file describes the " + name.kind().label() + " " + name.name();
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
