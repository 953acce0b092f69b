package org.bankturn.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.bankturn.replay.GroupOutcome;
import org.bankturn.replay.LoadPattern;
import org.bankturn.replay.LoadPatternReader;
import org.bankturn.replay.LoadReplay;
import org.bankturn.replay.PlacementRule;
import org.bankturn.replay.ReplayResult;
import org.bankturn.replay.ServedBySize;

/** {@code bench replay-load}: replays load patterns through the gateways' decisions, beside simpler ways to place requests. */
@Command(
        name = "replay-load",
        description = "Replays load patterns in virtual time, with several ways to place requests in the same run.")
public final class ReplayLoadBench implements Callable<String> {
    private static final int UNREADABLE = 2;

    @Arguments(description = "Load patterns, YAML.")
    private List<String> files = new ArrayList<>();

    @Option(
            name = {"--seeds"},
            description = "Replays of each, with seeds from 1.")
    private int seeds = 20;

    /** Created by the command-line parser. */
    public ReplayLoadBench() {}

    @Override
    public String call() throws IOException {
        List<LoadPattern> patterns = new ArrayList<>();
        boolean unreadable = files.isEmpty();
        for (String file : files) {
            LoadPatternReader.Result read = LoadPatternReader.read(Path.of(file));
            read.errors().forEach(System.err::println);
            unreadable |= read.pattern() == null;
            patterns.add(read.pattern());
        }
        if (unreadable) {
            System.err.println("nothing was replayed: name load patterns that can be read");
            System.exit(UNREADABLE);
        }
        ObjectNode result = new ObjectMapper().createObjectNode().put("seeds", seeds);
        ArrayNode lines = result.putArray("replays");
        for (LoadPattern pattern : patterns) {
            for (PlacementRule rule : PlacementRule.values()) {
                replay(lines.addObject(), pattern, rule);
            }
        }
        return result.toPrettyString();
    }

    private void replay(ObjectNode line, LoadPattern pattern, PlacementRule rule) {
        List<ReplayResult> results = new ArrayList<>();
        for (int seed = 1; seed <= seeds; seed++) {
            results.add(LoadReplay.run(pattern, rule.settings(), seed));
        }
        line.put("pattern", pattern.name())
                .put("rule", rule.name().toLowerCase(Locale.ROOT))
                .put("credit", mean(results, ReplayResult::credit))
                .put("creditDeviation", deviation(results, ReplayResult::credit))
                .put("inTime", mean(results, ReplayResult::inTime))
                .put("late", mean(results, ReplayResult::late))
                .put("lost", mean(results, ReplayResult::lost))
                .put("worstSecond", mean(results, ReplayResult::worstSecond))
                .put("medianMillis", mean(results, ReplayResult::medianMillis))
                .put("slowMillis", mean(results, ReplayResult::p99Millis))
                .put("rejections", mean(results, ReplayResult::rejections))
                .put("takenAway", mean(results, ReplayResult::interrupted))
                .put("questions", mean(results, ReplayResult::loadPolls))
                .put("busyShare", mean(results, ReplayResult::busyShare))
                .put("weightedCredit", mean(results, ReplayResult::weightedCredit));
        ArrayNode kinds = line.putArray("servedBySize");
        pattern.kinds().stream()
                .map(LoadPattern.Kind::name)
                .sorted()
                .forEach(kind -> served(kinds.addObject(), kind, results));
        groups(line.putArray("byKind"), results, ReplayResult::byKind);
        groups(line.putArray("byAccount"), results, ReplayResult::byAccount);
    }

    private static void groups(
            ArrayNode lines, List<ReplayResult> results, Function<ReplayResult, List<GroupOutcome>> groups) {
        results.stream()
                .flatMap(result -> groups.apply(result).stream())
                .collect(Collectors.groupingBy(GroupOutcome::name, TreeMap::new, Collectors.toList()))
                .forEach((name, outcomes) -> lines.addObject()
                        .put("name", name)
                        .put("creditShare", mean(outcomes, GroupOutcome::creditShare))
                        .put("rejectedShare", mean(outcomes, GroupOutcome::rejectedShare))
                        .put("servedShare", mean(outcomes, GroupOutcome::servedShare)));
    }

    private static void served(ObjectNode line, String kind, List<ReplayResult> results) {
        List<ServedBySize> served = results.stream()
                .flatMap(result -> result.servedBySize().stream())
                .filter(each -> each.kind().equals(kind))
                .toList();
        line.put("kind", kind)
                .put("all", mean(served, ServedBySize::all))
                .put("largestTenth", mean(served, ServedBySize::largestTenth))
                .put("nextFifth", mean(served, ServedBySize::nextFifth))
                .put("smallerHalf", mean(served, ServedBySize::smallerHalf))
                .put("weightedCredit", mean(served, ServedBySize::weightedCredit));
    }

    private static <T> double mean(List<T> results, ToDoubleFunction<T> figure) {
        return statistics(results, figure).getMean();
    }

    private static <T> double deviation(List<T> results, ToDoubleFunction<T> figure) {
        return statistics(results, figure).getStandardDeviation();
    }

    private static <T> SummaryStatistics statistics(List<T> results, ToDoubleFunction<T> figure) {
        SummaryStatistics statistics = new SummaryStatistics();
        results.forEach(result -> statistics.addValue(figure.applyAsDouble(result)));
        return statistics;
    }
}
