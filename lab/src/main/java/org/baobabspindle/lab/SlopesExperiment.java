package org.baobabspindle.lab;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.IntFunction;
import org.baobabspindle.core.freshness.Freshness;
import org.baobabspindle.core.freshness.VersionVector;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.Keeper;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.KeeperView;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.RequestKey;
import org.baobabspindle.core.log.KeeperRenewed;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.RequestIntended;
import org.baobabspindle.core.request.GroupCandidate;
import org.baobabspindle.core.request.IdempotencyKeyTable;
import org.baobabspindle.core.request.Router;
import org.baobabspindle.core.request.Settlement;
import org.baobabspindle.core.request.Ticket;

/** Measures how time, memory and encoded size of the decision code grow with the input size, and fits lines. */
final class SlopesExperiment implements Experiment {
    private static final Duration MEASUREMENT_TIME = Duration.ofMillis(400);
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("dealers");

    private final AtomicReference<Object> retained = new AtomicReference<>("");

    @Override
    public void run() throws IOException {
        measureTime("keeper-decide", "engines of the kept domain", this::keeperDecision, 4, 8, 16, 32, 64);
        measureTime(
                "keeper-decide-foreign", "groups kept by others", this::keeperDecisionWithoutClaims, 10, 37, 74, 148);
        measureTime("route", "groups of the model", this::route, 4, 10, 37, 74, 148);
        measureTime("freshness-by-peers", "entries of the region", this::freshness, 10, 50, 170, 340);
        measureTime("replay-renewal", "claims", this::replayRenewal, 5, 10, 20, 40);
        measureTime("snapshot", "groups of 16", this::snapshot, 5, 10, 20, 40);
        measureTime("key-begin-finish", "keys remembered", this::keyBeginFinish, 1_000, 5_000, 20_000, 40_000);
        measureMemory("state-memory", "groups of 16", n -> new FleetBuilder().withGroups(n, 16), 10, 20, 40, 80);
        measureMemory("membership-memory", "entries", n -> new FleetBuilder().withEntries(n), 50, 100, 200, 340);
        measureMemory("intent-memory", "intents", this::filledIntents, 5_000, 10_000, 20_000, 40_000);
        measureMemory("key-memory", "keys without kept answers", this::filledKeyTable, 5_000, 10_000, 20_000, 40_000);
        measureSize(
                "snapshot-bytes",
                "groups of 16",
                n -> new FleetBuilder()
                        .withGroups(n, 16)
                        .state()
                        .snapshot()
                        .toString()
                        .length(),
                5,
                10,
                20,
                40);
        measureSize(
                "intent-record-bytes", "records", n -> n * encodedIntentRecord().length(), 1, 2, 3, 4);
        for (ObjectNode line : new FrameSizes().measure()) {
            System.out.println(line);
        }
    }

    /** Holds a result so that it is neither eliminated as dead code nor collected before it is measured. */
    private void retain(Object result) {
        retained.set(result);
    }

    private interface Operation {
        Object run();
    }

    private void measureTime(String name, String unit, IntFunction<Operation> factory, int... sizes) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            Operation operation = factory.apply(n);
            nanosPerOperation(operation);
            points.add(new LinearFit.Point(n, nanosPerOperation(operation)));
        }
        print(name, unit, "ns", points);
    }

    private double nanosPerOperation(Operation operation) {
        long count = 0;
        long start = System.nanoTime();
        long end = start + MEASUREMENT_TIME.toNanos();
        while (System.nanoTime() < end) {
            retain(operation.run());
            count++;
        }
        return (double) (System.nanoTime() - start) / count;
    }

    private void measureMemory(String name, String unit, IntFunction<Object> factory, int... sizes) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            retain("");
            long before = usedMemoryAfterGc();
            retain(factory.apply(n));
            points.add(new LinearFit.Point(n, usedMemoryAfterGc() - before));
        }
        print(name, unit, "bytes", points);
    }

    private static long usedMemoryAfterGc() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private interface SizeFunction {
        double of(int n);
    }

    private static void measureSize(String name, String unit, SizeFunction size, int... sizes) {
        List<LinearFit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            points.add(new LinearFit.Point(n, size.of(n)));
        }
        print(name, unit, "bytes", points);
    }

    static void print(String name, String unit, String value, List<LinearFit.Point> points) {
        LinearFit fit = LinearFit.of(points);
        System.out.printf(
                "{\"slope\": \"%s\", \"per\": \"%s\", \"unit\": \"%s\", \"points\": \"%s\", "
                        + "\"intercept\": %.1f, \"growth\": %.3f, \"r2\": %.3f}%n",
                name, unit, value, formatPoints(points), fit.intercept(), fit.slope(), fit.r2());
    }

    private static String formatPoints(List<LinearFit.Point> points) {
        StringBuilder text = new StringBuilder();
        points.forEach(p -> text.append(String.format("%.0f:%.0f ", p.size(), p.value())));
        return text.toString().strip();
    }

    private Operation keeperDecision(int engines) {
        FleetBuilder fleet = new FleetBuilder().withGroups(1, engines).withEntries(8);
        Keeper keeper = new Keeper(FleetBuilder.SELF, FleetBuilder.REGION, GroupTimings.DEFAULT);
        KeeperView view = new KeeperView(fleet.state(), fleet.engines(), fleet.reports(), true);
        Instant now = renewClaims(keeper, fleet, view);
        return () -> keeper.decide(now, view);
    }

    /** Applies the keeper's renewal record, so that it holds the claims of the fleet; returns the time after it. */
    private static Instant renewClaims(Keeper keeper, FleetBuilder fleet, KeeperView view) {
        Instant now = FleetBuilder.START.plusMillis(100);
        for (KeeperAction a : keeper.decide(now, view)) {
            if (a instanceof KeeperAction.Append append && append.record() instanceof KeeperRenewed) {
                LogOffset offset = fleet.state().nextOffset();
                keeper.appendCompleted(append, fleet.appendRecord(append.record()), offset);
            }
        }
        keeper.decide(now, view);
        return now.plusMillis(100);
    }

    private Operation keeperDecisionWithoutClaims(int groups) {
        FleetBuilder fleet = new FleetBuilder().withGroups(groups, 16).withEntries(8);
        Keeper keeper = new Keeper(Incarnation.of("e1", 1), FleetBuilder.REGION, GroupTimings.DEFAULT);
        KeeperView view = new KeeperView(fleet.state(), fleet.engines(), fleet.reports(), true);
        Instant now = FleetBuilder.START.plusMillis(100);
        return () -> keeper.decide(now, view);
    }

    private Operation route(int groups) {
        Router router = new Router(32);
        List<GroupCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            candidates.add(new GroupCandidate(GroupId.of(i), i % 4 == 0, i % 7, i % 5, Duration.ofMillis(100 + i % 9)));
        }
        return () -> router.choose(candidates, "dealer 17 asks for a quote");
    }

    private Operation freshness(int entries) {
        FleetBuilder fleet = new FleetBuilder().withEntries(entries);
        Freshness freshness = new Freshness(FleetBuilder.SELF, FleetBuilder.REGION, Duration.ofSeconds(4));
        VersionVector vector = VersionVector.of(fleet.state(), FleetBuilder.REGION);
        for (int i = 1; i < entries; i++) {
            freshness.peerAnswered(Incarnation.of("e" + i, 1), FleetBuilder.START, vector);
        }
        return () -> freshness.check(FleetBuilder.START, fleet.state());
    }

    private Operation replayRenewal(int claims) {
        FleetBuilder fleet = new FleetBuilder().withGroups(claims, 2);
        return () -> fleet.appendRecord(new KeeperRenewed());
    }

    private Operation snapshot(int groups) {
        ReplayedState state = new FleetBuilder().withGroups(groups, 16).state();
        return state::snapshot;
    }

    private Operation keyBeginFinish(int remembered) {
        IdempotencyKeyTable table = (IdempotencyKeyTable) filledKeyTable(remembered);
        int[] next = {0};
        return () -> {
            next[0]++;
            RequestKey key = RequestKey.of("probe" + next[0] % 1_000);
            Object decision = table.begin(FleetBuilder.START, ACCOUNT, key, "f");
            table.finish(ACCOUNT, key, Settlement.NOT_RUN, Optional.empty());
            return decision;
        };
    }

    private Object filledKeyTable(int count) {
        IdempotencyKeyTable table = new IdempotencyKeyTable(count + 2_000, 0, Ticket.KEY_RETENTION);
        String prefix = new Ticket(FleetBuilder.SELF, FleetBuilder.START).prefix();
        for (int i = 0; i < count; i++) {
            RequestKey key = RequestKey.of(prefix + "order-" + i);
            table.begin(FleetBuilder.START, ACCOUNT, key, "0123456789abcdef".repeat(4) + i);
            table.finish(ACCOUNT, key, Settlement.COMPLETED, Optional.empty());
        }
        return table;
    }

    private Object filledIntents(int count) {
        FleetBuilder fleet = new FleetBuilder();
        for (int i = 0; i < count; i++) {
            fleet.appendRecord(new RequestIntended(ACCOUNT, RequestKey.of("order-" + i)));
        }
        return fleet;
    }

    private static String encodedIntentRecord() {
        LogEnvelope envelope = new LogEnvelope(
                Incarnation.of("entry-17", 1_796_351_973_000L),
                12_345,
                new RequestIntended(ACCOUNT, RequestKey.of("order-2026-12-04-000123")));
        return LogCodec.write(envelope) + ConfigurationVersion.of(0).toString().substring(1);
    }
}
