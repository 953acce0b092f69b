package org.bankturn.configuration;

/**
 * A version of a model; what it is, is its manifest's digest, not its name.
 *
 * @param model the model's name, not null
 * @param name the version's name, unique within the model, not null
 * @param manifest the SHA-256 of the manifest, 64 lower-case hexadecimal digits
 * @param origin host:port of the origin of weights, not null
 */
public record ModelVersion(String model, String name, String manifest, String origin) {}
