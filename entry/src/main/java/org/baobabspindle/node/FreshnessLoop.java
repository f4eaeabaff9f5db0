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

/**
 * Requests the versions of the region's entries while the log cannot be read, and those of all entries while a
 * configuration change waits for confirmation.
 */
final class FreshnessLoop implements ConfigurationEndpoint.Confirmation {
    private static final Duration CONFIRMATION_TIMEOUT = Duration.ofSeconds(6);
    private static final int CONFIRMATION_POLL_MILLIS = 100;

    private final EntryTables tables;
    private final VersionClient versionClient;

    FreshnessLoop(EntryTables tables, VersionClient versionClient) {
        this.tables = tables;
        this.versionClient = versionClient;
    }

    /** Requests the versions of the other entries of the region once, if the log cannot be read. */
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
        List<CompletableFuture<VersionClient.VersionReply>> replies =
                others.stream().map(versionClient::ask).toList();
        replies.forEach(VersionClient::await);
    }

    @Override
    public List<Region> await(ConfigurationVersion version) {
        Instant deadline = tables.clock().instant().plus(CONFIRMATION_TIMEOUT);
        Acceptance acceptance = new Acceptance(version);
        Set<Incarnation> confirmed = new HashSet<>();
        List<Region> unconfirmed = pollUnconfirmed(acceptance, confirmed, version);
        while (!unconfirmed.isEmpty() && tables.clock().instant().isBefore(deadline)) {
            try {
                Thread.sleep(CONFIRMATION_POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return unconfirmed;
            }
            unconfirmed = pollUnconfirmed(acceptance, confirmed, version);
        }
        return unconfirmed;
    }

    private List<Region> pollUnconfirmed(
            Acceptance acceptance, Set<Incarnation> confirmed, ConfigurationVersion version) {
        tables.log()
                .use(v -> acceptance.recordReplayed(
                        tables.id(), v.state().configurationState().version()));
        List<CompletableFuture<VersionClient.VersionReply>> replies = new ArrayList<>();
        List<EntryDescription> all =
                tables.log().with(v -> v.state().membership().entries());
        for (EntryDescription e : all) {
            if (!e.id().equals(tables.id()) && !confirmed.contains(e.id())) {
                replies.add(versionClient.ask(e));
            }
        }
        for (CompletableFuture<VersionClient.VersionReply> reply : replies) {
            VersionClient.await(reply).ifPresent(r -> {
                acceptance.recordReplayed(r.from(), r.vector().configuration());
                if (r.vector().configuration().compareTo(version) >= 0) {
                    confirmed.add(r.from());
                }
            });
        }
        return tables.log()
                .with(v -> acceptance.regionsWithoutMajority(v.state().membership()));
    }
}
