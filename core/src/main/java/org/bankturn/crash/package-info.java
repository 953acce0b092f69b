/** Detection and blocking of requests that crash the targets running them ("queries of death"). */
package org.bankturn.crash;
