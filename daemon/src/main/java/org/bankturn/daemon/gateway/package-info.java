/** The path of a request: from a caller's connection to a target and back, whole or with a true account of why not. */
package org.bankturn.daemon.gateway;
