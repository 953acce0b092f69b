/** The state that the control group publishes to all processes: operators' document, selected weights and targets. */
package org.bankturn.publication;
