/**
 * Parsing of YAML documents that reports all errors, each with a result code, file, line, column and field.
 */
package org.bankturn.document;
