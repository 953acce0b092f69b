/** Control processes: a consensus group that replicates the operators' document, named weights and targets. */
package org.bankturn.daemon.group;
