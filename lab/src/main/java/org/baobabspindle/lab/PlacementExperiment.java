package org.baobabspindle.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.baobabspindle.core.configuration.PlacementPolicy;
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.Keeper;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.KeeperView;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.group.ReportTable;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.ConfigurationPatched;
import org.baobabspindle.core.log.EntryJoined;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.Verdict;
import org.kohsuke.args4j.Option;

/** Measures group downtime and stranded accelerators of the keeper's decisions under a schedule of failures. */
final class PlacementExperiment implements Experiment {
    private static final int SMALL_SIZE = 2;
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration LIST_LAG = Duration.ofSeconds(10);

    @Option(name = "--seed", usage = "seed of the failures")
    private long seed = 1;

    @Option(name = "--domains", usage = "fabric domains")
    private int domains = 3;

    @Option(name = "--per-domain", usage = "engines of each domain")
    private int perDomain = 20;

    @Option(name = "--group-size", usage = "engines of a group")
    private int groupSize = 4;

    @Option(name = "--groups", usage = "groups wanted")
    private int groups = 15;

    @Option(name = "--small-groups", usage = "groups of 2 engines wanted of a second model")
    private int smallGroups;

    @Option(name = "--hours", usage = "simulated time")
    private int hours = 12;

    @Option(name = "--failures-per-hour", usage = "engines that die")
    private double failures = 2;

    @Option(name = "--pauses-per-hour", usage = "engines that fall silent for 2 to 20 s")
    private double pauses = 4;

    @Option(name = "--replacements-per-hour", usage = "engines that leave as planned")
    private double replacements = 3;

    @Option(name = "--dark", usage = "hour at which one domain goes dark for 30 minutes; negative for never")
    private int darkHour = -1;

    @Override
    public void run() {
        for (PlacementPolicy policy : PlacementPolicy.values()) {
            System.out.println(new Run(policy).simulate());
        }
    }

    /** One simulated run of one policy. */
    private final class Run {
        private final PlacementPolicy policy;
        private final Random random = new Random(seed);
        private final List<SimulatedEngine> engines = new ArrayList<>();
        private final ReplayedState state = new ReplayedState();
        private final Keeper keeper = new Keeper(Fleet.SELF, Fleet.REGION, GroupTimings.DEFAULT);
        private final ReportTable reports = new ReportTable();
        private List<PlatformInstance> listed = List.of();
        private Instant listedAt = Instant.MIN;
        private Instant now = Fleet.START;
        private long sequence;
        private double downSeconds;
        private double strandedSeconds;
        private double unservedSeconds;
        private long losses;

        Run(PlacementPolicy policy) {
            this.policy = policy;
            for (int i = 0; i < domains * perDomain; i++) {
                engines.add(new SimulatedEngine("x" + i, FabricDomain.of("d" + i / perDomain)));
            }
        }

        String simulate() {
            configure();
            Instant warm = now.plus(Duration.ofMinutes(2));
            Instant end = warm.plus(Duration.ofHours(hours));
            while (now.isBefore(end)) {
                now = now.plus(TICK);
                boolean measured = now.isAfter(warm);
                if (measured) {
                    fail(warm);
                }
                step();
                if (measured) {
                    measure();
                }
            }
            return String.format(
                    "{\"policy\": \"%s\", \"seed\": %d, \"engines\": %d, \"groupsWanted\": %d, \"hours\": %d, "
                            + "\"events\": %d, \"groupDowntimePercent\": %.3f, \"strandedPercent\": %.3f, "
                            + "\"nothingServedSeconds\": %.0f}",
                    policy,
                    seed,
                    engines.size(),
                    groups,
                    hours,
                    losses,
                    100 * downSeconds / ((groups + smallGroups) * 3600.0 * hours),
                    100 * strandedSeconds / (engines.size() * 3600.0 * hours),
                    unservedSeconds);
        }

        private void configure() {
            ObjectNode patch = LogCodec.mapper().createObjectNode().put("placement", policy.name());
            ObjectNode models = patch.putObject("models");
            models.putObject(Fleet.MODEL.toString())
                    .put("instancesPerGroup", groupSize)
                    .put("groups", groups);
            models.putObject("small@1").put("instancesPerGroup", SMALL_SIZE).put("groups", smallGroups);
            write(new LogEnvelope(Fleet.SELF, 1, new EntryJoined(Fleet.entry(Fleet.SELF), 0, Set.of())));
            write(new LogEnvelope(Fleet.SELF, 2, new ConfigurationPatched(ConfigurationVersion.of(0), patch)));
            sequence = 2;
        }

        private Verdict write(LogEnvelope envelope) {
            return state.apply(state.nextOffset(), LogCodec.write(envelope));
        }

        private boolean happens(double perHour) {
            return random.nextDouble() < perHour * TICK.toMillis() / 3_600_000.0;
        }

        private void fail(Instant start) {
            if (happens(failures)) {
                losses++;
                any().die(now, Duration.ofMinutes(3 + random.nextInt(10)));
            }
            if (happens(pauses)) {
                losses++;
                any().pause(now, Duration.ofSeconds(2 + random.nextInt(19)));
            }
            if (happens(replacements)) {
                losses++;
                any().leave(now, Duration.ofSeconds(90), Duration.ofMinutes(4));
            }
            boolean dark = darkHour >= 0
                    && now.equals(start.plus(Duration.ofHours(darkHour)).plus(TICK));
            if (dark) {
                losses++;
                engines.subList(0, perDomain).forEach(e -> e.die(now, Duration.ofMinutes(30)));
            }
        }

        private SimulatedEngine any() {
            return engines.get(random.nextInt(engines.size()));
        }

        private void step() {
            if (listedAt.equals(Instant.MIN) || !listedAt.plus(LIST_LAG).isAfter(now)) {
                listed = engines.stream()
                        .filter(e -> e.isListed(now))
                        .map(SimulatedEngine::listed)
                        .toList();
                listedAt = now;
            }
            for (SimulatedEngine e : engines) {
                e.report(now).ifPresent(reports::add);
            }
            KeeperView view = new KeeperView(state, listed, reports, true);
            for (KeeperAction a : keeper.decide(now, view)) {
                carryOut(a);
            }
        }

        private void carryOut(KeeperAction action) {
            if (action instanceof KeeperAction.Append append) {
                sequence++;
                LogOffset offset = state.nextOffset();
                keeper.appendCompleted(append, write(new LogEnvelope(Fleet.SELF, sequence, append.record())), offset);
                return;
            }
            KeeperAction.Order order = (KeeperAction.Order) action;
            engines.stream()
                    .filter(e -> e.name().equals(order.target().instance().value()))
                    .forEach(e -> e.obey(now, Optional.ofNullable(order.group())));
        }

        private SimulatedEngine engine(Incarnation member) {
            return engines.get(Integer.parseInt(member.instance().value().substring(1)));
        }

        /** A group is down while it is wanted and not serving; an accelerator is stranded while it is up and not serving. */
        private void measure() {
            KeeperView view = new KeeperView(state, listed, reports, true);
            int serving = 0;
            int servingEngines = 0;
            for (Group g : state.groupState().groups()) {
                boolean whole = g.members().stream().allMatch(m -> engine(m).serves(now, m, g.id()));
                Optional<GroupAssessment> a = keeper.assess(now, view, g);
                boolean open = a.isPresent() && a.get().lifecycle().acceptsRequests();
                serving += whole && open ? 1 : 0;
                servingEngines += whole && open ? g.members().size() : 0;
            }
            long up = engines.stream().filter(e -> e.isUp(now)).count();
            double seconds = TICK.toMillis() / 1_000.0;
            downSeconds += Math.max(0, groups + smallGroups - serving) * seconds;
            strandedSeconds += Math.max(0, up - servingEngines) * seconds;
            unservedSeconds += serving == 0 ? seconds : 0;
        }
    }
}
