/** The replicated state machine of the control group. */
package org.bankturn.state;
