package org.baobabspindle.core.fuzz;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.baobabspindle.core.freshness.Acceptance;
import org.baobabspindle.core.freshness.VersionVector;
import org.baobabspindle.core.group.GroupAssessment;
import org.baobabspindle.core.group.GroupAssessor;
import org.baobabspindle.core.group.GroupTimings;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.ConfigurationPatched;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.EntryJoined;
import org.baobabspindle.core.log.EntryRemoved;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogRecord;
import org.baobabspindle.core.log.Membership.RegionMembers;

/**
 * Simulates entries, engines and a log that exchange messages, which may be delayed, lost, duplicated and reordered. The
 * simulation only delivers messages; all decisions are made by the classes under test.
 */
final class ClusterSimulation {
    private static final Duration TICK = Duration.ofMillis(250);
    private static final Duration JOIN_INTERVAL = Duration.ofSeconds(1);

    private final GroupTimings timings = GroupTimings.DEFAULT;
    private final GroupAssessor assessor = new GroupAssessor(timings);
    private final Random random;
    private final FakeLog log = new FakeLog();
    private final List<FakeEntry> entries = new ArrayList<>();
    private final List<FakeEngine> engines = new ArrayList<>();
    private final PriorityQueue<Message> messages = new PriorityQueue<>();
    private final InvariantChecker checker = new InvariantChecker(timings);
    private Instant now = Instant.parse("2026-01-01T00:00:00Z");
    private Instant lastPatchAt = now;
    private List<PlatformInstance> listed = List.of();
    private int delayLevel;
    private int partitionedPairs;
    private long messageCount;

    ClusterSimulation(long seed, int entryCount, int engineCount) {
        random = new Random(seed);
        for (int i = 0; i < entryCount; i++) {
            entries.add(new FakeEntry("e" + i));
        }
        for (int i = 0; i < engineCount; i++) {
            FabricDomain domain = FabricDomain.of("d" + i % 2);
            engines.add(new FakeEngine("x" + i, domain, i % 2 == 0));
        }
        refreshInstanceList();
    }

    private record Message(Instant at, long order, Runnable effect) implements Comparable<Message> {
        @Override
        public int compareTo(Message other) {
            int byTime = at.compareTo(other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    InvariantChecker checker() {
        return checker;
    }

    /** Injects a fault and advances the time. */
    void step(Fault fault, int target, int millis) {
        FakeEntry entry = entries.get(Math.floorMod(target, entries.size()));
        FakeEngine engine = engines.get(Math.floorMod(target, engines.size()));
        switch (fault) {
            case NONE -> {}
            case PAUSE_ENTRY -> entry.pause(now, listed);
            case RESUME_ENTRY -> entry.resume().forEach(a -> start(entry, a));
            case RESTART_ENTRY -> entry.restart();
            case DISCONNECT_ENTRY_FROM_LOG -> entry.setDisconnectedFromLog(true);
            case RECONNECT_ENTRY_TO_LOG -> entry.setDisconnectedFromLog(false);
            case PARTITION_PEERS -> partitionedPairs = target;
            case LOG_DOWN -> log.setDown(true);
            case LOG_UP -> log.setDown(false);
            case KILL_ENGINE -> engine.kill(now);
            case RESTART_ENGINE -> engine.restart(now);
            case FAIL_DOMAIN -> engines.stream()
                    .filter(e -> e.domain().equals(engine.domain()))
                    .forEach(e -> e.kill(now));
            case REFRESH_INSTANCE_LIST -> refreshInstanceList();
            case DELAY_MESSAGES -> delayLevel = Math.floorMod(target, 4);
            case PATCH_CONFIGURATION -> patch(entry, target);
        }
        run(Duration.ofMillis(millis));
    }

    private void refreshInstanceList() {
        listed = engines.stream().map(FakeEngine::toPlatformInstance).toList();
    }

    void run(Duration time) {
        Instant end = now.plus(time);
        while (now.isBefore(end)) {
            now = now.plus(TICK);
            while (!messages.isEmpty() && !messages.peek().at().isAfter(now)) {
                messages.poll().effect().run();
            }
            for (FakeEntry e : entries) {
                if (!e.isPaused()) {
                    tick(e);
                }
            }
            checker.checkReplicas(entries);
        }
    }

    private void tick(FakeEntry entry) {
        if (entry.canReach(log)) {
            entry.read(now, log, 1 + random.nextInt(20));
            join(entry);
        }
        probeEngines(entry);
        requestPeerVersions(entry);
        entry.decide(now, listed).forEach(a -> start(entry, a));
        assess(entry);
        for (Group g : entry.state().groupState().groups()) {
            if (entry.assessments().mayDispatch(now, g.id(), entry.state().groupState(), timings)) {
                checker.checkDispatch(now, g, engines);
            }
        }
        boolean fresh = entry.freshness().check(now, entry.state()).isFresh();
        checker.checkFresh(now, entry, fresh);
    }

    /** Sends a message, which may be delayed, lost or duplicated. */
    private void send(Runnable effect) {
        int copies = random.nextInt(20) == 0 ? random.nextInt(3) : 1;
        for (int i = 0; i < copies; i++) {
            long delay = (long) random.nextInt(50) + (delayLevel == 0 ? 0 : random.nextInt(2_000 * delayLevel));
            messageCount++;
            messages.add(new Message(now.plusMillis(delay), messageCount, effect));
        }
    }

    private void start(FakeEntry entry, KeeperAction action) {
        if (action instanceof KeeperAction.Append append) {
            append(entry, entry.write(append));
            return;
        }
        KeeperAction.Order order = (KeeperAction.Order) action;
        FakeEngine target = engines.stream()
                .filter(e -> e.id().instance().equals(order.target().instance()))
                .findFirst()
                .orElseThrow();
        send(() -> target.receiveOrder(now, order));
    }

    /**
     * Appends a record, and again until its writer has replayed it. Because responses can be lost, the log may hold the
     * record twice, the second time after later records.
     */
    private void append(FakeEntry entry, String line) {
        Incarnation writer = entry.id();
        send(() -> {
            if (!log.isDown()) {
                log.append(line);
            }
        });
        messageCount++;
        messages.add(new Message(now.plusMillis(2_000), messageCount, () -> retry(entry, writer, line)));
    }

    private void retry(FakeEntry entry, Incarnation writer, String line) {
        long sequence = LogCodec.read(line).orElseThrow().sequence();
        if (entry.id().equals(writer) && entry.state().lastSequence(writer) < sequence) {
            append(entry, line);
        }
    }

    private void join(FakeEntry entry) {
        RegionMembers members = entry.state().membership().of(FakeEntry.REGION);
        boolean atHead = entry.state().nextOffset().equals(log.head());
        boolean due = Math.floorMod(now.toEpochMilli(), JOIN_INTERVAL.toMillis()) == 0;
        Optional<EntryDescription> same = members.entries().stream()
                .filter(m -> m.id().instance().equals(entry.id().instance()))
                .findFirst();
        boolean member = same.map(m -> m.id().equals(entry.id())).orElse(false);
        if (!atHead || !due || member) {
            return;
        }
        Set<Incarnation> evidence = new HashSet<>();
        for (EntryDescription m : members.entries()) {
            boolean replayed = entries.stream()
                    .anyMatch(e -> e.id().instance().equals(m.id().instance())
                            && e.id().number() >= m.id().number()
                            && !e.isPaused()
                            && e.vector().membership() >= members.version());
            if (replayed) {
                evidence.add(m.id());
            }
        }
        LogRecord record = same.isPresent()
                ? new EntryRemoved(FakeEntry.REGION, same.get().id(), members.version(), evidence, false)
                : new EntryJoined(entry.description(), members.version(), evidence);
        append(entry, entry.write(record));
    }

    private void probeEngines(FakeEntry entry) {
        Instant requestedAt = now;
        Incarnation requester = entry.id();
        for (FakeEngine engine : engines) {
            send(() -> {
                if (engine.isRunning()) {
                    var report = engine.report(now, requestedAt);
                    send(() -> runIfSameIncarnation(
                            entry, requester, () -> entry.reports().add(report)));
                }
            });
        }
    }

    private void runIfSameIncarnation(FakeEntry entry, Incarnation id, Runnable effect) {
        if (entry.id().equals(id)) {
            effect.run();
        }
    }

    private boolean connected(FakeEntry a, FakeEntry b) {
        int pair = entries.indexOf(a) + entries.indexOf(b);
        return (partitionedPairs >> pair & 1) == 0;
    }

    private void requestPeerVersions(FakeEntry entry) {
        Instant requestedAt = now;
        Incarnation requester = entry.id();
        for (FakeEntry peer : entries) {
            if (peer.equals(entry) || !connected(entry, peer)) {
                continue;
            }
            send(() -> {
                if (!peer.isPaused()) {
                    VersionVector vector = peer.vector();
                    Incarnation from = peer.id();
                    checker.versionReceived(entry, from, vector.configuration());
                    send(() -> runIfSameIncarnation(
                            entry, requester, () -> entry.freshness().peerAnswered(from, requestedAt, vector)));
                }
            });
        }
    }

    /** Uses the assessment of a group by its keeper if a randomly chosen entry keeps it, otherwise the entry's own. */
    private void assess(FakeEntry entry) {
        for (Group g : entry.state().groupState().groups()) {
            FakeEntry keeper = entries.get(random.nextInt(entries.size()));
            Optional<GroupAssessment> keeperAssessment =
                    keeper.isPaused() ? Optional.empty() : keeper.keeper().assess(now, keeper.view(now, listed), g);
            GroupAssessment a = keeperAssessment.orElseGet(() -> assessor.assess(
                    now, g, entry.reports(), Instant.MIN, entry.state().configuration()));
            Instant requestedAt = now;
            Incarnation requester = entry.id();
            send(() -> runIfSameIncarnation(
                    entry, requester, () -> entry.assessments().add(requestedAt, a)));
        }
    }

    private void patch(FakeEntry entry, int target) {
        ObjectNode patch = LogCodec.mapper().createObjectNode();
        patch.putObject("models")
                .putObject("m@1")
                .put("instancesPerGroup", 2)
                .put("groups", 1 + Math.floorMod(target, 3));
        ConfigurationVersion base = entry.state().configurationState().version();
        append(entry, entry.write(new ConfigurationPatched(base, patch)));
        lastPatchAt = now;
        checker.trackAcceptance(now, base.next(), new Acceptance(base.next()), entries);
    }

    /** Returns whether any entry may send requests to any group. */
    boolean anyServing() {
        return entries.stream()
                .anyMatch(e ->
                        e.state().groupState().groups().stream().map(Group::id).anyMatch(g -> mayDispatch(e, g)));
    }

    private boolean mayDispatch(FakeEntry e, GroupId g) {
        return e.assessments().mayDispatch(now, g, e.state().groupState(), timings);
    }

    Instant lastPatchAt() {
        return lastPatchAt;
    }
}
