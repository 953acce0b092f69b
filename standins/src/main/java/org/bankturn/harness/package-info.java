/**
 * Runs a deployment on the loopback interface: daemons as separate processes, stand-ins for external systems, and
 * callers that verify every answer. Used by the quickstart, the benchmarks and the failure tests.
 */
package org.bankturn.harness;
