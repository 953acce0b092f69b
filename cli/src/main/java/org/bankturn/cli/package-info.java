/**
 * The command-line tool for operators: submits files and shows the configuration in force.
 */
package org.bankturn.cli;
