/** What the control group publishes to all processes: the operators' document, named weights and targets. */
package org.bankturn.publication;
