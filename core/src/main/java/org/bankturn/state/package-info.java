/**
 * The state that the agreement log leads to, put together from its parts.
 */
package org.bankturn.state;
