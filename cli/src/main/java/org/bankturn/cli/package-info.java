/**
 * The operators' command-line tool: submits files and reads back what is in force.
 */
package org.bankturn.cli;
