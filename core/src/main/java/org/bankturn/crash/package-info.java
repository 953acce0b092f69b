/** Requests that end the targets that run them ("queries of death"): how they are told from bystanders, and stopped. */
package org.bankturn.crash;
