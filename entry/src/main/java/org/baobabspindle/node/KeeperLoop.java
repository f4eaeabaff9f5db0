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

/**
 * Runs the keeper of this entry: probes the engines of the fabric domains whose lease it holds, lets the keeper
 * decide and executes its actions.
 */
final class KeeperLoop {
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(900);

    private final EntryTables tables;
    private final RecordAppender appender;
    private final EngineClient engines;
    private final Map<Incarnation, Instant> probedAt = new HashMap<>();

    KeeperLoop(EntryTables tables, RecordAppender appender, EngineClient engines) {
        this.tables = tables;
        this.appender = appender;
        this.engines = engines;
    }

    /** Probes the engines whose probe is due and executes the decisions once. */
    void run() {
        Instant now = tables.clock().instant();
        probe(now);
        List<KeeperAction> actions = tables.log().with(v -> {
            boolean readable = v.freshness().isLogReadable(now, v.state());
            return tables.groups().with(g -> g.keeper().decide(now, g.keeperView(v.state(), readable)));
        });
        for (KeeperAction a : actions) {
            if (a instanceof KeeperAction.Append append) {
                execute(append);
            } else if (a instanceof KeeperAction.Order order) {
                execute(order, now);
            }
        }
    }

    private void probe(Instant now) {
        for (PlatformInstance e : enginesInKeptDomains(now)) {
            Instant last = probedAt.getOrDefault(e.id(), Instant.MIN);
            if (last.plus(PROBE_INTERVAL).isAfter(now)) {
                continue;
            }
            probedAt.put(e.id(), now);
            engines.report(e, now).thenAccept(this::addReport).exceptionally(x -> null);
        }
    }

    private void addReport(MemberReport report) {
        tables.groups().use(g -> g.reports().add(report));
    }

    private List<PlatformInstance> enginesInKeptDomains(Instant now) {
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

    private void execute(KeeperAction.Append append) {
        if (append.domain() != null) {
            DecisionLog.write(
                    "keeper",
                    append.reason(),
                    "domain",
                    append.domain(),
                    "record",
                    append.record().getClass().getSimpleName());
        }
        appender.append(append.record())
                .thenAccept(s -> tables.groups().use(g -> g.keeper().appendCompleted(append, s.verdict(), s.offset())));
    }

    private void execute(KeeperAction.Order order, Instant now) {
        Optional<PlatformInstance> target = tables.groups().with(g -> g.engine(order.target()));
        List<PlatformInstance> members = tables.groups().with(g -> order.members().stream()
                .flatMap(m -> g.engine(m).stream())
                .toList());
        if (target.isEmpty() || members.size() < order.members().size()) {
            return;
        }
        DecisionLog.write(
                "order", order.reason(), "engine", order.target(), "group", order.group(), "fencing", order.fencing());
        engines.order(target.get(), order, members, now).whenComplete((accepted, e) -> {
            if (e != null || !accepted) {
                DecisionLog.write("order-failed", String.valueOf(e), "engine", order.target());
            }
        });
    }
}
