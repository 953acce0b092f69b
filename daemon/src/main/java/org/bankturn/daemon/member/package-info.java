/** One member of an agreement group on a thread of its own, whatever state the group replicates. */
package org.bankturn.daemon.member;
