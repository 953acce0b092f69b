/** The registry of targets that the control group replicates. */
package org.bankturn.registry;
