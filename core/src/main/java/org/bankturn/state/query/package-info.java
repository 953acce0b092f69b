/** The replies to queries of the applied state. */
package org.bankturn.state.query;
