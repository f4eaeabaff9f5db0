package org.baobabspindle.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.baobabspindle.core.group.KeeperAction;
import org.baobabspindle.core.group.MemberReport;
import org.baobabspindle.core.group.PlatformInstance;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.log.KeeperClaim;
import org.baobabspindle.logging.DecisionLog;
import org.baobabspindle.runner.EngineClient;
import org.baobabspindle.serving.EntryTables;
import org.baobabspindle.serving.RecordAppender;

/** Drives the keeper of this entry: asks the engines of the kept domains, decides, and carries the decisions out. */
final class KeeperLoop {
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(900);

    private final EntryTables tables;
    private final RecordAppender appends;
    private final EngineClient engines;
    private final Map<Incarnation, Instant> probedAt = new HashMap<>();

    KeeperLoop(EntryTables tables, RecordAppender appends, EngineClient engines) {
        this.tables = tables;
        this.appends = appends;
        this.engines = engines;
    }

    /** Asks and decides once. */
    void run() {
        Instant now = tables.clock().instant();
        probe(now);
        List<KeeperAction> actions = tables.log().with(v -> {
            boolean readable = v.freshness().isLogReadable(now, v.state());
            return tables.groups().with(g -> g.keeper().decide(now, g.keeperView(v.state(), readable)));
        });
        for (KeeperAction a : actions) {
            if (a instanceof KeeperAction.Append append) {
                start(append);
            } else if (a instanceof KeeperAction.Order order) {
                start(order, now);
            }
        }
    }

    private void probe(Instant now) {
        for (PlatformInstance e : kept(now)) {
            Instant last = probedAt.getOrDefault(e.id(), Instant.MIN);
            if (last.plus(PROBE_INTERVAL).isAfter(now)) {
                continue;
            }
            probedAt.put(e.id(), now);
            engines.report(e, now).thenAccept(this::note).exceptionally(x -> null);
        }
    }

    private void note(MemberReport report) {
        tables.groups().use(g -> g.reports().add(report));
    }

    private List<PlatformInstance> kept(Instant now) {
        return tables.log().with(v -> tables.groups().with(g -> {
            List<PlatformInstance> kept = new ArrayList<>();
            for (KeeperClaim c : v.state().groupState().claims()) {
                if (g.keeper().holdsLease(now, c)) {
                    kept.addAll(g.keeperView(v.state(), false).instancesIn(c.domain()));
                }
            }
            return kept;
        }));
    }

    private void start(KeeperAction.Append append) {
        if (append.domain() != null) {
            DecisionLog.write(
                    "keeper",
                    append.reason(),
                    "domain",
                    append.domain(),
                    "record",
                    append.record().getClass().getSimpleName());
        }
        appends.append(append.record())
                .thenAccept(s -> tables.groups().use(g -> g.keeper().appendCompleted(append, s.verdict(), s.offset())));
    }

    private void start(KeeperAction.Order order, Instant now) {
        Optional<PlatformInstance> target = tables.groups().with(g -> g.engine(order.target()));
        List<PlatformInstance> members = tables.groups().with(g -> order.members().stream()
                .flatMap(m -> g.engine(m).stream())
                .toList());
        if (target.isEmpty() || members.size() < order.members().size()) {
            return;
        }
        DecisionLog.write(
                "order", order.reason(), "engine", order.target(), "group", order.group(), "fencing", order.fencing());
        engines.order(target.get(), order, members, now).whenComplete((taken, e) -> {
            if (e != null || !taken) {
                DecisionLog.write("order-failed", String.valueOf(e), "engine", order.target());
            }
        });
    }
}
