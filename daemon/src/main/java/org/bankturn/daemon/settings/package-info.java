/**
 * The settings of a process, parsed from YAML and validated before startup. Times are in milliseconds, sizes in bytes.
 */
package org.bankturn.daemon.settings;
