/**
 * Queries: what may be asked of the applied state.
 */
package org.bankturn.state.query;
