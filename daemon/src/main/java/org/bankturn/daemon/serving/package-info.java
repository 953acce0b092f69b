/** Processes that meet an outside platform through dialects: a gateway, a control process, a weights process. */
package org.bankturn.daemon.serving;
