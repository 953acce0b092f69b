/**
 * Runs a whole deployment on loopback: daemons as separate processes, stand-ins for what lies outside, callers that check
 * every answer. Used by the quickstart, the bench and the tests of failures.
 */
package org.bankturn.harness;
