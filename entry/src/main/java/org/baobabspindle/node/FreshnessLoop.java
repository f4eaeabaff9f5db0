package org.baobabspindle.node;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.freshness.Acceptance;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.operator.ConfigurationEndpoint;
import org.baobabspindle.serving.EntryTables;

/** Asks the entries of the region while the log is away, and all entries while a change waits to be accepted. */
final class FreshnessLoop implements ConfigurationEndpoint.Confirmation {
    private static final Duration CONFIRMATION_WAIT = Duration.ofSeconds(6);
    private static final int CONFIRMATION_POLL_MILLIS = 100;

    private final EntryTables tables;
    private final VersionClient asker;

    FreshnessLoop(EntryTables tables, VersionClient asker) {
        this.tables = tables;
        this.asker = asker;
    }

    /** Asks the region's entries once, if the log cannot be read. */
    void run() {
        Instant now = tables.clock().instant();
        List<EntryDescription> others = tables.log().with(v -> {
            if (v.freshness().isLogReadable(now, v.state())) {
                return List.of();
            }
            return v.state().membership().of(tables.self().region()).entries().stream()
                    .filter(e -> !e.id().equals(tables.id()))
                    .toList();
        });
        List<CompletableFuture<VersionClient.VersionReply>> asked =
                others.stream().map(asker::ask).toList();
        asked.forEach(VersionClient::await);
    }

    @Override
    public List<Region> await(ConfigurationVersion version) {
        Instant until = tables.clock().instant().plus(CONFIRMATION_WAIT);
        Acceptance acceptance = new Acceptance(version);
        Set<Incarnation> having = new HashSet<>();
        List<Region> missing = askLacking(acceptance, having, version);
        while (!missing.isEmpty() && tables.clock().instant().isBefore(until)) {
            try {
                Thread.sleep(CONFIRMATION_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return missing;
            }
            missing = askLacking(acceptance, having, version);
        }
        return missing;
    }

    private List<Region> askLacking(Acceptance acceptance, Set<Incarnation> having, ConfigurationVersion version) {
        tables.log()
                .use(v -> acceptance.recordReplayed(
                        tables.id(), v.state().configurationState().version()));
        List<CompletableFuture<VersionClient.VersionReply>> asked = new ArrayList<>();
        List<EntryDescription> all =
                tables.log().with(v -> v.state().membership().entries());
        for (EntryDescription e : all) {
            if (!e.id().equals(tables.id()) && !having.contains(e.id())) {
                asked.add(asker.ask(e));
            }
        }
        for (CompletableFuture<VersionClient.VersionReply> a : asked) {
            VersionClient.await(a).ifPresent(h -> {
                acceptance.recordReplayed(h.from(), h.vector().configuration());
                if (h.vector().configuration().compareTo(version) >= 0) {
                    having.add(h.from());
                }
            });
        }
        return tables.log()
                .with(v -> acceptance.regionsWithoutMajority(v.state().membership()));
    }
}
