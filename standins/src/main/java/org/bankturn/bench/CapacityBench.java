package org.bankturn.bench;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/** {@code bench capacity}: the table of docs/CAPACITY.md, worked out from the measurements' JSON. */
@Command(name = "capacity", description = "Prints the table of slopes and what they come to at the size ahead.")
public final class CapacityBench implements Callable<String> {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int BOXES = 7_900;
    private static final int NODES = 370;
    private static final double CHANGES_PER_SECOND = 6_200 / 86_400.0;
    private static final double WORST_CHANGES_PER_SECOND = 1.0;
    private static final double REQUESTS_PER_SECOND = 6_000;
    private static final double KEYED_SHARE = 0.05;
    private static final double POLLS_PER_SECOND = 1.0;

    @Option(
            name = {"--measurements"},
            description = "Folder with the measurements.")
    private String folder = "docs/measurements";

    private final StringBuilder table = new StringBuilder();

    /** Created by the command-line parser. */
    public CapacityBench() {}

    private record Fit(double slope, double atZero, double r2) {
        double at(double size) {
            return atZero + slope * size;
        }
    }

    @Override
    public String call() throws IOException {
        JsonNode slopes = JSON.readTree(Path.of(folder, "slopes.json").toFile());
        table.append("| what | measured sizes | slope | fit (r2) | at the size ahead |\n|---|---|---|---|---|\n");
        JsonNode configuration = slopes.path("configuration");
        Fit apply = fit(configuration, "boxes", "applyStepMicros");
        row(
                "every process: apply one change",
                configuration,
                "boxes",
                apply,
                "us/box",
                String.format(
                        Locale.ROOT,
                        "%.1f ms a change; %.3f%% of a core at the mean rate, %.2f%% in the worst minute",
                        apply.at(BOXES) / 1e3,
                        apply.at(BOXES) * CHANGES_PER_SECOND / 1e4,
                        apply.at(BOXES) * WORST_CHANGES_PER_SECOND / 1e4));
        Fit whole = fit(configuration, "boxes", "wholeBytes");
        row(
                "every process: whole configuration",
                configuration,
                "boxes",
                whole,
                "B/box",
                String.format(Locale.ROOT, "%.0f KB, fetched once a start", whole.at(BOXES) / 1e3));
        Fit check = fit(configuration, "boxes", "checkMicros");
        row(
                "control: check a file",
                configuration,
                "boxes",
                check,
                "us/box",
                String.format(Locale.ROOT, "%.1f ms", check.at(BOXES) / 1e3));
        JsonNode reports = slopes.path("reports");
        Fit bytes = fit(reports, "processes", "encodedBytes");
        double children = (double) BOXES / NODES;
        row(
                "entry: reports passed up",
                reports,
                "processes",
                bytes,
                "B/process",
                String.format(
                        Locale.ROOT,
                        "%.1f KB/s for %.0f children at %.0f poll/s",
                        bytes.at(children + 1) * POLLS_PER_SECOND / 1e3,
                        children,
                        POLLS_PER_SECOND));
        row(
                "control leader: reports taken in",
                reports,
                "processes",
                bytes,
                "B/process",
                String.format(Locale.ROOT, "%.2f MB/s in all", bytes.at(BOXES + NODES) * POLLS_PER_SECOND / 1e6));
        Fit count = fit(reports, "processes", "countLoadedMicros");
        row(
                "control leader: count boxes that serve",
                reports,
                "processes",
                count,
                "us/process",
                String.format(Locale.ROOT, "%.1f ms five times a second during a burst", count.at(BOXES) / 1e3));
        JsonNode selection = slopes.path("selection");
        Fit select = fit(selection, "boxes", "selectMicros");
        row(
                "entry: find targets for a request",
                selection,
                "boxes",
                select,
                "us/box",
                String.format(
                        Locale.ROOT,
                        "%.2f ms; %.2f%% of a core at %.1f requests/s a node",
                        select.at(BOXES) / 1e3,
                        select.at(BOXES) * REQUESTS_PER_SECOND / NODES / 1e4,
                        REQUESTS_PER_SECOND / NODES));
        JsonNode ledger = slopes.path("ledger");
        Fit claims = fit(ledger, "claims", "snapshotBytes");
        double keyed = REQUESTS_PER_SECOND * KEYED_SHARE;
        row(
                "control: ledger",
                ledger,
                "claims",
                claims,
                "B/claim",
                String.format(
                        Locale.ROOT,
                        "%.1f GB for a day's keys at %.0f keyed requests/s",
                        claims.at(keyed * 86_400) / 1e9,
                        keyed));
        Fit snapshot = fit(ledger, "claims", "snapshotMicros");
        row(
                "control: snapshot",
                ledger,
                "claims",
                snapshot,
                "us/claim",
                String.format(Locale.ROOT, "%.1f s for half an hour's keys", snapshot.at(keyed * 1_800) / 1e6));
        return table.toString();
    }

    private void row(String what, JsonNode points, String size, Fit fit, String unit, String ahead) {
        StringBuilder sizes = new StringBuilder();
        points.forEach(point -> sizes.append(sizes.length() == 0 ? "" : ", ")
                .append(point.path(size).asInt()));
        table.append(String.format(
                Locale.ROOT,
                "| %s | %s %s | %.3f %s | %.2f | %s |%n",
                what,
                sizes,
                size,
                fit.slope(),
                unit,
                fit.r2(),
                ahead));
    }

    private static Fit fit(JsonNode points, String size, String value) {
        SimpleRegression regression = new SimpleRegression();
        points.forEach(point -> regression.addData(
                point.path(size).asDouble(), point.path(value).asDouble()));
        return new Fit(regression.getSlope(), regression.getIntercept(), regression.getRSquare());
    }
}
