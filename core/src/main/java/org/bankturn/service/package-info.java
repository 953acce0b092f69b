/** What operators publish for requests: routes, services, engines, client accounts and limits, as immutable records. */
package org.bankturn.service;
