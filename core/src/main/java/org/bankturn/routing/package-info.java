/**
 * Target selection, admission, flow control and retry budgets for requests.
 */
package org.bankturn.routing;
