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

/** Measures how the time, the memory and the bytes of the decisions grow with their sizes, and fits lines. */
final class SlopesExperiment implements Experiment {
    private static final Duration MEASURED = Duration.ofMillis(400);
    private static final ClientAccountId ACCOUNT = ClientAccountId.of("dealers");

    private final AtomicReference<Object> kept = new AtomicReference<>("");

    @Override
    public void run() throws IOException {
        time("keeper-decide", "engines of the kept domain", this::keeperDecide, 4, 8, 16, 32, 64);
        time("keeper-decide-foreign", "groups kept by others", this::keeperForeign, 10, 37, 74, 148);
        time("route", "groups of the model", this::route, 4, 10, 37, 74, 148);
        time("freshness-by-peers", "entries of the region", this::freshness, 10, 50, 170, 340);
        time("replay-renewal", "claims", this::replayRenewal, 5, 10, 20, 40);
        time("snapshot", "groups of 16", this::snapshot, 5, 10, 20, 40);
        time("key-begin-finish", "keys remembered", this::keys, 1_000, 5_000, 20_000, 40_000);
        memory("state-memory", "groups of 16", n -> new Fleet().withGroups(n, 16), 10, 20, 40, 80);
        memory("membership-memory", "entries", n -> new Fleet().withEntries(n), 50, 100, 200, 340);
        memory("intent-memory", "intents", this::intents, 5_000, 10_000, 20_000, 40_000);
        memory("key-memory", "keys without kept answers", this::filledKeys, 5_000, 10_000, 20_000, 40_000);
        size(
                "snapshot-bytes",
                "groups of 16",
                n -> new Fleet().withGroups(n, 16).state().snapshot().toString().length(),
                5,
                10,
                20,
                40);
        size("intent-record-bytes", "records", n -> n * intentLine().length(), 1, 2, 3, 4);
        for (ObjectNode line : new FrameSizes().measure()) {
            System.out.println(line);
        }
    }

    /** Holds a result, so that it is neither optimized away nor collected before it is measured. */
    private void keep(Object result) {
        kept.set(result);
    }

    private interface Step {
        Object run();
    }

    private void time(String name, String unit, IntFunction<Step> make, int... sizes) {
        List<Fit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            Step step = make.apply(n);
            nanosPer(step);
            points.add(new Fit.Point(n, nanosPer(step)));
        }
        print(name, unit, "ns", points);
    }

    private double nanosPer(Step step) {
        long count = 0;
        long start = System.nanoTime();
        long end = start + MEASURED.toNanos();
        while (System.nanoTime() < end) {
            keep(step.run());
            count++;
        }
        return (double) (System.nanoTime() - start) / count;
    }

    private void memory(String name, String unit, IntFunction<Object> make, int... sizes) {
        List<Fit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            keep("");
            long before = usedAfterCollection();
            keep(make.apply(n));
            points.add(new Fit.Point(n, usedAfterCollection() - before));
        }
        print(name, unit, "bytes", points);
    }

    private static long usedAfterCollection() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    private interface Size {
        double of(int n);
    }

    private static void size(String name, String unit, Size size, int... sizes) {
        List<Fit.Point> points = new ArrayList<>();
        for (int n : sizes) {
            points.add(new Fit.Point(n, size.of(n)));
        }
        print(name, unit, "bytes", points);
    }

    static void print(String name, String unit, String value, List<Fit.Point> points) {
        Fit fit = Fit.of(points);
        System.out.printf(
                "{\"slope\": \"%s\", \"per\": \"%s\", \"unit\": \"%s\", \"points\": \"%s\", "
                        + "\"intercept\": %.1f, \"growth\": %.3f, \"r2\": %.3f}%n",
                name, unit, value, points(points), fit.intercept(), fit.slope(), fit.r2());
    }

    private static String points(List<Fit.Point> points) {
        StringBuilder text = new StringBuilder();
        points.forEach(p -> text.append(String.format("%.0f:%.0f ", p.size(), p.value())));
        return text.toString().strip();
    }

    private Step keeperDecide(int engines) {
        Fleet fleet = new Fleet().withGroups(1, engines).withEntries(8);
        Keeper keeper = new Keeper(Fleet.SELF, Fleet.REGION, GroupTimings.DEFAULT);
        KeeperView view = new KeeperView(fleet.state(), fleet.engines(), fleet.reports(), true);
        Instant now = holdClaim(keeper, fleet, view);
        return () -> keeper.decide(now, view);
    }

    /** Has the keeper's own renewal accepted, so that it holds the claims of the fleet. */
    private static Instant holdClaim(Keeper keeper, Fleet fleet, KeeperView view) {
        Instant now = Fleet.START.plusMillis(100);
        for (KeeperAction a : keeper.decide(now, view)) {
            if (a instanceof KeeperAction.Append append && append.record() instanceof KeeperRenewed) {
                LogOffset offset = fleet.state().nextOffset();
                keeper.appendCompleted(append, fleet.write(append.record()), offset);
            }
        }
        keeper.decide(now, view);
        return now.plusMillis(100);
    }

    private Step keeperForeign(int groups) {
        Fleet fleet = new Fleet().withGroups(groups, 16).withEntries(8);
        Keeper keeper = new Keeper(Incarnation.of("e1", 1), Fleet.REGION, GroupTimings.DEFAULT);
        KeeperView view = new KeeperView(fleet.state(), fleet.engines(), fleet.reports(), true);
        Instant now = Fleet.START.plusMillis(100);
        return () -> keeper.decide(now, view);
    }

    private Step route(int groups) {
        Router router = new Router(32);
        List<GroupCandidate> candidates = new ArrayList<>();
        for (int i = 0; i < groups; i++) {
            candidates.add(new GroupCandidate(GroupId.of(i), i % 4 == 0, i % 7, i % 5, Duration.ofMillis(100 + i % 9)));
        }
        return () -> router.choose(candidates, "dealer 17 asks for a quote");
    }

    private Step freshness(int entries) {
        Fleet fleet = new Fleet().withEntries(entries);
        Freshness freshness = new Freshness(Fleet.SELF, Fleet.REGION, Duration.ofSeconds(4));
        VersionVector vector = VersionVector.of(fleet.state(), Fleet.REGION);
        for (int i = 1; i < entries; i++) {
            freshness.peerAnswered(Incarnation.of("e" + i, 1), Fleet.START, vector);
        }
        return () -> freshness.check(Fleet.START, fleet.state());
    }

    private Step replayRenewal(int claims) {
        Fleet fleet = new Fleet().withGroups(claims, 2);
        return () -> fleet.write(new KeeperRenewed());
    }

    private Step snapshot(int groups) {
        ReplayedState state = new Fleet().withGroups(groups, 16).state();
        return state::snapshot;
    }

    private Step keys(int remembered) {
        IdempotencyKeyTable table = (IdempotencyKeyTable) filledKeys(remembered);
        int[] next = {0};
        return () -> {
            next[0]++;
            RequestKey key = RequestKey.of("probe" + next[0] % 1_000);
            Object decision = table.begin(Fleet.START, ACCOUNT, key, "f");
            table.finish(ACCOUNT, key, Settlement.NOT_RUN, Optional.empty());
            return decision;
        };
    }

    private Object filledKeys(int count) {
        IdempotencyKeyTable table = new IdempotencyKeyTable(count + 2_000, 0, Ticket.KEY_RETENTION);
        String prefix = new Ticket(Fleet.SELF, Fleet.START).prefix();
        for (int i = 0; i < count; i++) {
            RequestKey key = RequestKey.of(prefix + "order-" + i);
            table.begin(Fleet.START, ACCOUNT, key, "0123456789abcdef".repeat(4) + i);
            table.finish(ACCOUNT, key, Settlement.COMPLETED, Optional.empty());
        }
        return table;
    }

    private Object intents(int count) {
        Fleet fleet = new Fleet();
        for (int i = 0; i < count; i++) {
            fleet.write(new RequestIntended(ACCOUNT, RequestKey.of("order-" + i)));
        }
        return fleet;
    }

    private static String intentLine() {
        LogEnvelope envelope = new LogEnvelope(
                Incarnation.of("entry-17", 1_796_351_973_000L),
                12_345,
                new RequestIntended(ACCOUNT, RequestKey.of("order-2026-12-04-000123")));
        return LogCodec.write(envelope) + ConfigurationVersion.of(0).toString().substring(1);
    }
}
