/**
 * Reading of YAML documents that lists every error at once, each with code, file, line, column and field.
 */
package org.bankturn.document;
