/**
 * Small stand-ins for what lies outside bankturn: model engine, weight origin, box list, plain service. Each speaks the
 * published HTTP protocol of what it stands for, and counts what a test wants to know.
 */
package org.bankturn.standin;
