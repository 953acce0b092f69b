/** Gateway, control and weights processes that serve a platform through dialects. */
package org.bankturn.daemon.serving;
