/** Client side of the control group: following the published state and submitting changes. */
package org.bankturn.daemon.publication;
