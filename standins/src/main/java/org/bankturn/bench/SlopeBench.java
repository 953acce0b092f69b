package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.util.concurrent.Callable;

/** {@code bench slopes}: costs of the parts at several sizes, for docs/CAPACITY.md. */
@Command(name = "slopes", description = "Measures what the parts cost at several sizes.")
public final class SlopeBench implements Callable<String> {
    @Option(
            name = {"--rounds"},
            description = "Rounds of each measurement; the fastest counts.")
    private int rounds = 5;

    /** Created by the command-line parser. */
    public SlopeBench() {}

    @Override
    public String call() {
        ObjectNode result = new ObjectMapper().createObjectNode();
        PartCosts costs = new PartCosts(rounds);
        costs.configuration(result.putArray("configuration"));
        costs.ledger(result.putArray("ledger"));
        costs.reports(result.putArray("reports"));
        costs.selection(result.putArray("selection"));
        costs.fingerprints(result.putArray("fingerprints"));
        costs.planner(result.putArray("planner"));
        return result.toString();
    }
}
