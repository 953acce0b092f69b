/**
 * Which requests are taken on: weighted shares of client accounts, and deadlines.
 */
package org.bankturn.admission;
