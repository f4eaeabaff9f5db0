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

/** Measures group downtime and stranded accelerators under random failures for each placement policy of the keeper. */
final class PlacementExperiment implements Experiment {
    private static final int SMALL_GROUP_SIZE = 2;
    private static final Duration TICK = Duration.ofMillis(500);
    private static final Duration LIST_READ_INTERVAL = Duration.ofSeconds(10);

    @Option(name = "--seed", usage = "random seed of the failures")
    private long seed = 1;

    @Option(name = "--domains", usage = "fabric domains")
    private int domains = 3;

    @Option(name = "--per-domain", usage = "engines in each domain")
    private int enginesPerDomain = 20;

    @Option(name = "--group-size", usage = "engines per group")
    private int groupSize = 4;

    @Option(name = "--groups", usage = "groups wanted")
    private int wantedGroups = 15;

    @Option(name = "--small-groups", usage = "groups wanted of a second model with 2 engines per group")
    private int wantedSmallGroups;

    @Option(name = "--hours", usage = "simulated time in hours")
    private int hours = 12;

    @Option(name = "--failures-per-hour", usage = "engine crashes per hour")
    private double crashesPerHour = 2;

    @Option(name = "--pauses-per-hour", usage = "engines per hour that become unresponsive for 2 to 20 s")
    private double pausesPerHour = 4;

    @Option(name = "--replacements-per-hour", usage = "planned leaves of engines per hour")
    private double replacementsPerHour = 3;

    @Option(name = "--dark", usage = "hour at which a whole domain fails for 30 minutes; negative for never")
    private int outageHour = -1;

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
        private final Keeper keeper = new Keeper(FleetBuilder.SELF, FleetBuilder.REGION, GroupTimings.DEFAULT);
        private final ReportTable reports = new ReportTable();
        private List<PlatformInstance> listedInstances = List.of();
        private Instant listReadAt = Instant.MIN;
        private Instant now = FleetBuilder.START;
        private long sequence;
        private double groupDownSeconds;
        private double strandedSeconds;
        private double allDownSeconds;
        private long failureEvents;

        Run(PlacementPolicy policy) {
            this.policy = policy;
            for (int i = 0; i < domains * enginesPerDomain; i++) {
                engines.add(new SimulatedEngine("x" + i, FabricDomain.of("d" + i / enginesPerDomain)));
            }
        }

        String simulate() {
            configure();
            Instant warmupEnd = now.plus(Duration.ofMinutes(2));
            Instant end = warmupEnd.plus(Duration.ofHours(hours));
            while (now.isBefore(end)) {
                now = now.plus(TICK);
                boolean measured = now.isAfter(warmupEnd);
                if (measured) {
                    injectFailures(warmupEnd);
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
                    wantedGroups,
                    hours,
                    failureEvents,
                    100 * groupDownSeconds / ((wantedGroups + wantedSmallGroups) * 3600.0 * hours),
                    100 * strandedSeconds / (engines.size() * 3600.0 * hours),
                    allDownSeconds);
        }

        private void configure() {
            ObjectNode patch = LogCodec.mapper().createObjectNode().put("placement", policy.name());
            ObjectNode models = patch.putObject("models");
            models.putObject(FleetBuilder.MODEL.toString())
                    .put("instancesPerGroup", groupSize)
                    .put("groups", wantedGroups);
            models.putObject("small@1")
                    .put("instancesPerGroup", SMALL_GROUP_SIZE)
                    .put("groups", wantedSmallGroups);
            appendRecord(new LogEnvelope(
                    FleetBuilder.SELF, 1, new EntryJoined(FleetBuilder.entry(FleetBuilder.SELF), 0, Set.of())));
            appendRecord(
                    new LogEnvelope(FleetBuilder.SELF, 2, new ConfigurationPatched(ConfigurationVersion.of(0), patch)));
            sequence = 2;
        }

        private Verdict appendRecord(LogEnvelope envelope) {
            return state.apply(state.nextOffset(), LogCodec.write(envelope));
        }

        private boolean occursInTick(double perHour) {
            return random.nextDouble() < perHour * TICK.toMillis() / 3_600_000.0;
        }

        private void injectFailures(Instant warmupEnd) {
            if (occursInTick(crashesPerHour)) {
                failureEvents++;
                randomEngine().crash(now, Duration.ofMinutes(3 + random.nextInt(10)));
            }
            if (occursInTick(pausesPerHour)) {
                failureEvents++;
                randomEngine().pause(now, Duration.ofSeconds(2 + random.nextInt(19)));
            }
            if (occursInTick(replacementsPerHour)) {
                failureEvents++;
                randomEngine().leave(now, Duration.ofSeconds(90), Duration.ofMinutes(4));
            }
            boolean domainOutage = outageHour >= 0
                    && now.equals(warmupEnd.plus(Duration.ofHours(outageHour)).plus(TICK));
            if (domainOutage) {
                failureEvents++;
                engines.subList(0, enginesPerDomain).forEach(e -> e.crash(now, Duration.ofMinutes(30)));
            }
        }

        private SimulatedEngine randomEngine() {
            return engines.get(random.nextInt(engines.size()));
        }

        private void step() {
            if (listReadAt.equals(Instant.MIN)
                    || !listReadAt.plus(LIST_READ_INTERVAL).isAfter(now)) {
                listedInstances = engines.stream()
                        .filter(e -> e.isListed(now))
                        .map(SimulatedEngine::toPlatformInstance)
                        .toList();
                listReadAt = now;
            }
            for (SimulatedEngine e : engines) {
                e.report(now).ifPresent(reports::add);
            }
            KeeperView view = new KeeperView(state, listedInstances, reports, true);
            for (KeeperAction a : keeper.decide(now, view)) {
                apply(a);
            }
        }

        private void apply(KeeperAction action) {
            if (action instanceof KeeperAction.Append append) {
                sequence++;
                LogOffset offset = state.nextOffset();
                keeper.appendCompleted(
                        append, appendRecord(new LogEnvelope(FleetBuilder.SELF, sequence, append.record())), offset);
                return;
            }
            KeeperAction.Order order = (KeeperAction.Order) action;
            engines.stream()
                    .filter(e -> e.name().equals(order.target().instance().value()))
                    .forEach(e -> e.applyOrder(now, Optional.ofNullable(order.group())));
        }

        private SimulatedEngine engineOf(Incarnation member) {
            return engines.get(Integer.parseInt(member.instance().value().substring(1)));
        }

        /**
         * Adds one tick to the totals. A group is down while it is wanted and not serving; an accelerator is stranded while
         * it is up and not serving.
         */
        private void measure() {
            KeeperView view = new KeeperView(state, listedInstances, reports, true);
            int serving = 0;
            int servingEngines = 0;
            for (Group g : state.groupState().groups()) {
                boolean membersServe =
                        g.members().stream().allMatch(m -> engineOf(m).serves(now, m, g.id()));
                Optional<GroupAssessment> assessment = keeper.assess(now, view, g);
                boolean acceptsRequests =
                        assessment.isPresent() && assessment.get().lifecycle().acceptsRequests();
                serving += membersServe && acceptsRequests ? 1 : 0;
                servingEngines += membersServe && acceptsRequests ? g.members().size() : 0;
            }
            long up = engines.stream().filter(e -> e.isUp(now)).count();
            double seconds = TICK.toMillis() / 1_000.0;
            groupDownSeconds += Math.max(0, wantedGroups + wantedSmallGroups - serving) * seconds;
            strandedSeconds += Math.max(0, up - servingEngines) * seconds;
            allDownSeconds += serving == 0 ? seconds : 0;
        }
    }
}
