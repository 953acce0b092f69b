/**
 * The operators' files: their model, their reading, and the configuration that they make together.
 */
package org.bankturn.configuration;
