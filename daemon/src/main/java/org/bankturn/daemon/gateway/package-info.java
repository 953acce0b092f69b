/** The request gateway: accepts callers' HTTP requests, forwards them to targets and relays the responses. */
package org.bankturn.daemon.gateway;
