/** The control processes: one agreement group that publishes the operators' document, named weights and targets. */
package org.bankturn.daemon.group;
