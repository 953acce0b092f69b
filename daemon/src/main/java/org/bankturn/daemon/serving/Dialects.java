package org.bankturn.daemon.serving;

import org.bankturn.daemon.gateway.RequestDialect;
import org.bankturn.daemon.group.ControlDialect;
import org.bankturn.daemon.http.HealthDialect;
import org.bankturn.daemon.weights.WeightsDialect;
import org.bankturn.service.DocumentFormat;

/**
 * The adapters between a platform's names and formats and the interfaces of bankturn.
 *
 * @param document parses operators' configuration documents, not null
 * @param requests maps the headers of callers' requests and targets' responses, not null
 * @param control maps the control calls of operators and targets, not null
 * @param health maps health requests to targets, not null
 * @param weights maps the messages of engines and weights origins, not null
 */
public record Dialects(
        DocumentFormat document,
        RequestDialect requests,
        ControlDialect control,
        HealthDialect health,
        WeightsDialect weights) {}
