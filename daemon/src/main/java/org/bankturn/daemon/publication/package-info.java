/** How processes without a disk learn what the control group publishes, and keep up with it. */
package org.bankturn.daemon.publication;
