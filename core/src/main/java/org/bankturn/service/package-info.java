/** The published serving configuration: routes, services, engine models, client accounts and limits. */
package org.bankturn.service;
