package org.bankturn.daemon.serving;

import org.bankturn.daemon.gateway.RequestDialect;
import org.bankturn.daemon.group.ControlDialect;
import org.bankturn.daemon.weights.WeightsDialect;
import org.bankturn.service.DocumentFormat;

/**
 * How a platform speaks: names and formats, no decisions.
 *
 * @param document reads operators' documents, not null
 * @param requests callers' requests and targets' answers, not null
 * @param control operators' and targets' calls, not null
 * @param weights engines and origins of weights, not null
 */
public record Dialects(
        DocumentFormat document, RequestDialect requests, ControlDialect control, WeightsDialect weights) {}
