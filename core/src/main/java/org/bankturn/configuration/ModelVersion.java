package org.bankturn.configuration;

/**
 * A version of a model. The manifest digest, not the name, identifies its content.
 *
 * @param model the model name, not null
 * @param name the version name, unique within the model, not null
 * @param manifest the SHA-256 of the manifest, 64 lower-case hexadecimal digits
 * @param origin host:port of the origin that serves the weights, not null
 */
public record ModelVersion(String model, String name, String manifest, String origin) {}
