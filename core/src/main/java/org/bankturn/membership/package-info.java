/** The status of targets and processes, as reported by them. */
package org.bankturn.membership;
