package org.baobabspindle.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.baobabspindle.core.dispatch.TargetCatalog;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.ServerTable;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;

/** What this entry knows of the fleet: the configuration in force, how old its proof is, and the backend servers. */
final class FleetTable {
    private final FleetDecoder decoder;
    private final EventLog log;
    private final ServerTable servers = new ServerTable();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private byte[] configurationBytes = new byte[0];
    private String configurationKey = "";
    private Optional<Moment> confirmedAt = Optional.empty();
    private TargetCatalog catalog = TargetCatalog.empty();
    private Set<BackendServer.Lifetime> markLeaving = Set.of();
    private boolean serversRead;

    FleetTable(FleetDecoder decoder, EventLog log) {
        this.decoder = decoder;
        this.log = log;
    }

    /** Takes over records of the configuration feed, which was asked for at a moment. */
    synchronized void configurationRead(List<FeedRecord> records, Moment askedAt) {
        for (FeedRecord r : records) {
            decoder.configuration(r)
                    .ifPresent(c -> install(c, r.key(), r.value().orElseThrow(), "the store"));
        }
        confirmed(askedAt);
    }

    private void install(FleetConfiguration c, String key, byte[] bytes, String source) {
        if (configuration.isPresent() && c.version() <= configuration.get().version()) {
            return;
        }
        log.write(
                "configuration",
                "a newer version was read",
                "version",
                c.version(),
                "before",
                configuration.map(FleetConfiguration::version).orElse(-1L),
                "source",
                source);
        configuration = Optional.of(c);
        configurationKey = key;
        configurationBytes = bytes;
        rebuildCatalog();
    }

    private void confirmed(Moment askedAt) {
        if (confirmedAt.isEmpty() || confirmedAt.get().isBefore(askedAt)) {
            confirmedAt = Optional.of(askedAt);
        }
    }

    /**
     * Takes over another entry's proof that a version was the newest one.
     *
     * @param version the version that the other entry knew to be newest
     * @param askedAt a moment on this entry's clocks that is not later than the other entry's question to the store
     */
    synchronized void confirmedByPeer(long version, Moment askedAt) {
        if (configuration.isPresent() && configuration.get().version() == version) {
            confirmed(askedAt);
        }
    }

    /** Takes over a configuration that another entry read from the store. */
    synchronized void configurationFromPeer(String key, String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        decoder.configuration(new FeedRecord(key, Optional.of(bytes)))
                .ifPresent(c -> install(c, key, bytes, "another entry"));
    }

    /** Takes over records of the list of backend servers; a whole list drops those that it does not name. */
    synchronized void serversRead(List<FeedRecord> records, boolean whole, Moment now) {
        Set<InstanceId> listed = new HashSet<>();
        for (FeedRecord r : records) {
            Optional<InstanceId> id = parseId(r.key());
            if (id.isEmpty()) {
                continue;
            }
            listed.add(id.get());
            if (r.value().isEmpty()) {
                servers.remove(id.get(), now);
            } else {
                decoder.server(r).ifPresent(servers::put);
            }
        }
        if (whole) {
            servers.retain(listed, now);
        }
        serversRead = true;
        servers.applyDueRemovals(now);
        rebuildCatalog();
    }

    private static Optional<InstanceId> parseId(String key) {
        try {
            return Optional.of(InstanceId.of(key));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    synchronized void storeRecovered(Moment now) {
        servers.storeRecovered(now);
    }

    /** Drops servers whose time to return is over; returns whether any was dropped. */
    synchronized boolean applyDueRemovals(Moment now) {
        boolean changed = servers.applyDueRemovals(now);
        if (changed) {
            rebuildCatalog();
        }
        return changed;
    }

    private void rebuildCatalog() {
        configuration.ifPresent(c -> catalog = TargetCatalog.of(c, servers()));
    }

    synchronized Optional<FleetConfiguration> configuration() {
        return configuration;
    }

    /** Returns the version of the configuration; -1 if none is known. */
    synchronized long version() {
        return configuration.map(FleetConfiguration::version).orElse(-1L);
    }

    synchronized String configurationKey() {
        return configurationKey;
    }

    synchronized String configurationText() {
        return new String(configurationBytes, StandardCharsets.UTF_8);
    }

    /** Returns how long ago the configuration was last proven to be the newest one. */
    synchronized Optional<Duration> configurationAge(Moment now) {
        return confirmedAt.map(now::since);
    }

    synchronized TargetCatalog catalog() {
        return catalog;
    }

    /** Takes over which servers say that they leave, whatever the list says of them. */
    synchronized void markLeaving(Set<BackendServer.Lifetime> all) {
        markLeaving = Set.copyOf(all);
        rebuildCatalog();
    }

    synchronized Collection<BackendServer> servers() {
        if (markLeaving.isEmpty()) {
            return servers.all();
        }
        return servers.all().stream()
                .map(s -> markLeaving.contains(s.lifetime()) ? s.draining() : s)
                .toList();
    }

    /** Returns whether a server is listed as one that takes new work. */
    synchronized boolean isServing(BackendServer.Lifetime server) {
        return servers().stream().anyMatch(s -> s.lifetime().equals(server) && s.ready());
    }

    /** Returns whether both feeds have been read. */
    synchronized boolean isComplete() {
        return configuration.isPresent() && serversRead;
    }
}
