/**
 * The model and the parser of operator files, and the configuration that results from the accepted files.
 */
package org.bankturn.configuration;
