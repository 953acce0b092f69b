/**
 * Admission control of requests by weighted shares of client accounts and by deadlines.
 */
package org.bankturn.admission;
