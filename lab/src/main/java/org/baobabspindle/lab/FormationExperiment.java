package org.baobabspindle.lab;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.PlanPolicy;
import org.kohsuke.args4j.Option;

/** Compares downtime weights of group formation on a simulated fleet under engine losses; prints a table. */
final class FormationExperiment implements Experiment {
    private static final double LOADS_PER_SECOND = 5;
    private static final Duration HEAD_OPEN_TIME = Duration.ofMillis(300);
    private static final Duration LARGE_LOAD_TIME = Duration.ofSeconds(16);
    private static final Duration SMALL_LOAD_TIME = Duration.ofSeconds(12);
    private static final Duration LARGE_WARM_JOIN_TIME = Duration.ofMillis(1_600);
    private static final Duration SMALL_WARM_JOIN_TIME = Duration.ofMillis(1_100);

    @Option(name = "--domains", usage = "fabric domains")
    private int domains = 6;

    @Option(name = "--per-domain", usage = "engines in each domain")
    private int enginesPerDomain = 11;

    @Option(name = "--models", usage = "SIZE:SLOTS of each model, comma-separated: engines per group, slots wanted")
    private String models = "6:76,3:39";

    @Option(name = "--slots", usage = "requests that a group runs concurrently")
    private int slots = 18;

    @Option(name = "--loads-at-once", usage = "concurrent loads that the weight store serves at full speed")
    private int maxConcurrentLoads = 8;

    @Option(name = "--loss-every", usage = "mean seconds between losses of joined members; 0 for none")
    private double lossIntervalSeconds = 2.5;

    @Option(name = "--dark-at", usage = "second at which a whole domain fails for 8 s; negative for never")
    private int outageSecond = 20;

    @Option(name = "--seconds", usage = "simulated time with traffic")
    private int seconds = 60;

    @Option(name = "--seeds", usage = "runs of each weight, with seeds from 1 on")
    private int seeds = 5;

    @Option(name = "--weights", usage = "downtime weights to compare, comma-separated")
    private String weights = "0,1,20";

    @Override
    public void run() {
        System.out.println(
                "weight  seed  covered by model               worst  losses  loads  closed  decision ms (mean, longest)");
        for (double weight : parseNumbers(weights)) {
            for (int seed = 1; seed <= seeds; seed++) {
                System.out.println(formatRow(weight, seed, simulate(weight, seed)));
            }
        }
    }

    FormationFleet.Outcome simulate(double weight, long seed) {
        List<EngineModel> all = new ArrayList<>();
        Map<String, Double> demand = new HashMap<>();
        for (String m : models.split(",", -1)) {
            int colon = m.indexOf(':');
            int size = Integer.parseInt(m.substring(0, colon));
            String name = "m" + size;
            boolean large = all.isEmpty();
            demand.put(name, Double.parseDouble(m.substring(colon + 1)));
            all.add(new EngineModel(
                    name,
                    size,
                    1,
                    demand.get(name) * size,
                    large ? LARGE_LOAD_TIME : SMALL_LOAD_TIME,
                    large ? LARGE_WARM_JOIN_TIME : SMALL_WARM_JOIN_TIME));
        }
        EngineProfile profile = new EngineProfile(
                slots, 6.45, 0.1, 56_100, 6, LOADS_PER_SECOND, maxConcurrentLoads, HEAD_OPEN_TIME, all);
        FormationFleet fleet =
                new FormationFleet(profile, domains, enginesPerDomain, demand, new PlanPolicy(weight), seed);
        return fleet.run(
                Duration.ofSeconds(seconds),
                Duration.ofMillis(Math.round(lossIntervalSeconds * 1_000)),
                outageSecond < 0 ? Optional.empty() : Optional.of(Duration.ofSeconds(outageSecond)));
    }

    private static List<Double> parseNumbers(String text) {
        List<Double> result = new ArrayList<>();
        for (String n : text.split(",", -1)) {
            result.add(Double.parseDouble(n));
        }
        return result;
    }

    private static String formatRow(double weight, int seed, FormationFleet.Outcome o) {
        StringBuilder covered = new StringBuilder();
        o.meanCoverage().entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> covered.append(String.format(Locale.ROOT, "%s %.3f  ", e.getKey(), e.getValue())));
        return String.format(
                Locale.ROOT,
                "%6.1f  %4d  %-30s %5.2f  %6d  %5d  %6d  %.2f, %.2f",
                weight,
                seed,
                covered,
                o.minCoverage(),
                o.losses(),
                o.loads(),
                o.conversions(),
                o.meanDecision().toNanos() / 1e6,
                o.maxDecision().toNanos() / 1e6);
    }
}
