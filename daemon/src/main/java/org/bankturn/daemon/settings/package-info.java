/**
 * A process's settings, read from YAML and checked whole before anything starts. Times in milliseconds, sizes in bytes.
 */
package org.bankturn.daemon.settings;
