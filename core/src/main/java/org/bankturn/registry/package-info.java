/** The targets that announced themselves: what they said last, kept by the control group. */
package org.bankturn.registry;
