/**
 * Choosing targets, the budget of retries, and outcomes that carry proof of not having run.
 */
package org.bankturn.routing;
