package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.baobabspindle.core.dispatch.ColdLimit;
import org.baobabspindle.core.dispatch.ColdServers;
import org.baobabspindle.core.dispatch.TargetCatalog;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.ColdStart;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.core.fleet.ServerTable;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;
import org.baobabspindle.port.GatewaySettings;
import org.baobabspindle.port.Platform;

/**
 * The view of the fleet of this entry: the current configuration, when it was last confirmed, and the backend servers.
 */
final class FleetTable {
    /** The number of decoded records kept; a long one has some hundred kB. */
    private static final int MAX_DECODED = 4;

    private final FleetDecoder decoder;
    private final EventLog log;
    private final EvacuationTable evacuations;
    private final ServerTable servers = new ServerTable();
    private Optional<FleetConfiguration> configuration = Optional.empty();
    private Optional<FeedRecord> configurationRecord = Optional.empty();

    /** The version that the store had at the last read; -1 if it had none. */
    private long storedVersion = -1;

    /** What was decoded last: the feed and several entries bring each version, the feed often after a later one. */
    private final Deque<Decoded> decoded = new ArrayDeque<>();

    private Optional<Moment> confirmedAt = Optional.empty();
    private TargetCatalog catalog = TargetCatalog.empty();
    private long revision;
    private Optional<Listing> listing = Optional.empty();
    private Set<BackendServer.Lifetime> leaving = Set.of();
    private final VersionLag lag = new VersionLag();

    /** The newest version that callers of this entry have seen; -1 if they have seen none through other entries. */
    private long minVersion = -1;

    private Moment minVersionSince = new Moment(0, 0);
    private Consumer<Duration> onInstalled = lagged -> {};
    private boolean serversRead;
    private long serversEra;

    private record Decoded(long version, FeedRecord record) {
        boolean contains(FeedRecord r) {
            return r.key().equals(record.key())
                    && r.value()
                            .filter(v -> Arrays.equals(v, record.value().orElseThrow()))
                            .isPresent();
        }
    }

    FleetTable(FleetDecoder decoder, EventLog log) {
        this(decoder, log, new EvacuationTable(decoder, log, Optional.empty(), Set.of()));
    }

    private FleetTable(FleetDecoder decoder, EventLog log, EvacuationTable evacuations) {
        this.decoder = decoder;
        this.log = log;
        this.evacuations = evacuations;
    }

    /** Returns an empty table of an entry on a platform. */
    static FleetTable of(Platform platform, EventLog log) {
        GatewaySettings settings = platform.settings();
        EvacuationTable evacuations = new EvacuationTable(
                platform.decoder(),
                log,
                settings.bounds().maxEvacuationDelay(),
                settings.regions().keySet());
        return new FleetTable(platform.decoder(), log, evacuations);
    }

    /** Returns the evacuated availability zones, which have a lock of their own. */
    EvacuationTable evacuations() {
        return evacuations;
    }

    /** Sets a listener that receives how long each installed version was missing, before the first one is installed. */
    void setInstallationListener(Consumer<Duration> listener) {
        onInstalled = listener;
    }

    /**
     * Applies records of the configuration feed. The read confirms the configuration as of the time it was requested,
     * unless the store is behind this entry: it was restored from an older copy then, and may have lost a newer version
     * that this entry does not know.
     *
     * @param snapshot whether the records are the latest of all keys
     */
    synchronized void configurationRead(List<FeedRecord> records, boolean snapshot, Moment requestedAt, Moment now) {
        if (snapshot) {
            storedVersion = -1;
        }
        // Only the newest version on the page matters; an invalid one leaves the one before in force.
        for (int i = records.size() - 1; i >= 0; i--) {
            Optional<Long> version = apply(records.get(i), "the feed", now);
            if (version.isPresent()) {
                storedVersion = version.get();
                break;
            }
        }
        if (storedVersion >= version()) {
            confirmed(requestedAt);
        }
    }

    /** Returns the version in a record, which is installed if it is newer; empty if it contains no valid configuration. */
    private Optional<Long> apply(FeedRecord r, String source, Moment now) {
        for (Decoded d : decoded) {
            if (d.contains(r)) {
                return Optional.of(d.version());
            }
        }
        Optional<FleetConfiguration> c = decoder.configuration(r);
        c.ifPresent(x -> {
            decoded.addFirst(new Decoded(x.version(), r));
            if (decoded.size() > MAX_DECODED) {
                decoded.removeLast();
            }
            install(x, r, source, now);
        });
        return c.map(FleetConfiguration::version);
    }

    private void install(FleetConfiguration c, FeedRecord record, String source, Moment now) {
        if (configuration.isPresent() && c.version() <= configuration.get().version()) {
            return;
        }
        Optional<Duration> missingFor = lag.installed(c.version(), now);
        onInstalled.accept(missingFor.orElse(Duration.ZERO));
        log.write(
                "configuration",
                "newer version installed",
                "version",
                c.version(),
                "before",
                configuration.map(FleetConfiguration::version).orElse(-1L),
                "source",
                source,
                "bytes",
                record.value().orElseThrow().length,
                "missingMs",
                missingFor.map(Duration::toMillis).orElse(0L),
                "confirmedMsAgo",
                configurationAge(now).map(Duration::toMillis).orElse(-1L));
        configuration = Optional.of(c);
        configurationRecord = Optional.of(record);
        rebuildCatalog();
    }

    private void confirmed(Moment requestedAt) {
        if (confirmedAt.isEmpty() || confirmedAt.get().isBefore(requestedAt)) {
            confirmedAt = Optional.of(requestedAt);
        }
        // A store that was restored from an older copy may have lost the version that was shown.
        if (isBehindCallers() && minVersionSince.isBefore(requestedAt)) {
            minVersion = version();
        }
    }

    /**
     * Accepts the confirmation of another entry that a version was the newest one; ignored unless this entry has that
     * version.
     *
     * @param version the version that the other entry confirmed with the store
     * @param requestedAt a moment on this entry's clocks that is not later than the other entry's request to the store
     */
    synchronized void confirmedByPeer(long version, Moment requestedAt) {
        if (configuration.isPresent() && configuration.get().version() == version) {
            confirmed(requestedAt);
        }
    }

    /** Another entry follows a version that is newer than the one of this entry. */
    synchronized void newerVersionStated(long version, Moment now) {
        if (version > version()) {
            lag.stated(version, now);
        }
    }

    /** Callers of this entry have seen the effect of a version through another entry. */
    synchronized void versionShown(long version, Moment now) {
        if (version > minVersion) {
            minVersion = version;
            minVersionSince = now;
        }
    }

    /** Returns the version behind which this entry must not go back for its callers. */
    synchronized long minVersion() {
        return Math.max(minVersion, version());
    }

    /** Returns whether callers of this entry have seen the effect of a version that it does not have yet. */
    synchronized boolean isBehindCallers() {
        return minVersion > version();
    }

    /** Returns for how long this entry has known that there is a newer version; zero if it knows of none. */
    synchronized Duration versionLag(Moment now) {
        return lag.current(now);
    }

    /** Installs a configuration that another entry read from the store, if it is newer. */
    synchronized void configurationFromPeer(InstanceId from, FeedRecord record, Moment now) {
        apply(record, from.value(), now);
    }

    /** Applies a page of the list of backend servers; a snapshot also removes the servers that it does not contain. */
    synchronized void serversRead(FeedPage page, boolean snapshot, Moment now) {
        long era = page.next().era();
        if (serversRead && era != serversEra) {
            servers.storeRestored(now);
        }
        serversEra = era;
        Set<InstanceId> listed = new HashSet<>();
        for (FeedRecord r : page.records()) {
            Optional<InstanceId> id = parseId(r.key());
            if (id.isEmpty()) {
                continue;
            }
            listed.add(id.get());
            if (r.value().isEmpty()) {
                servers.remove(id.get(), now);
            } else {
                decoder.server(r).ifPresent(s -> servers.put(s, now));
            }
        }
        if (snapshot) {
            servers.retain(listed, now);
        }
        serversRead = true;
        servers.applyDueChanges(now);
        rebuildCatalog();
    }

    /** Returns the instance that a key names; empty if the key is invalid. */
    static Optional<InstanceId> parseId(String key) {
        try {
            return Optional.of(InstanceId.of(key));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /** Records that the store is reachable again after an outage, which starts the grace period for removals. */
    synchronized void storeRecovered(Moment now) {
        servers.storeRecovered(now);
    }

    /** Applies delayed changes of the list of backend servers that are due; returns whether there was any. */
    synchronized boolean applyDueServerChanges(Moment now) {
        boolean changed = servers.applyDueChanges(now);
        if (changed) {
            rebuildCatalog();
        }
        return changed;
    }

    private void rebuildCatalog() {
        configuration.ifPresent(c -> {
            catalog = TargetCatalog.of(c, servers());
            listing = serversRead
                    ? Optional.of(new Listing(++revision, c, catalog, servers.registrations()))
                    : Optional.empty();
        });
    }

    synchronized Optional<FleetConfiguration> configuration() {
        return configuration;
    }

    /** Returns the version of the configuration; -1 if there is none yet. */
    synchronized long version() {
        return configuration.map(FleetConfiguration::version).orElse(-1L);
    }

    /** Returns the record of the configuration; empty if there is none yet. */
    synchronized Optional<FeedRecord> configurationRecord() {
        return configurationRecord;
    }

    /** Returns how long ago the configuration was last confirmed to be the newest one; empty if it never was. */
    synchronized Optional<Duration> configurationAge(Moment now) {
        return confirmedAt.map(now::since);
    }

    synchronized TargetCatalog catalog() {
        return catalog;
    }

    /**
     * The fleet as of one moment.
     *
     * @param revision increases with each change
     * @param configuration the configuration
     * @param catalog the targets
     * @param registrations the registrations of the listed servers
     */
    record Listing(
            long revision,
            FleetConfiguration configuration,
            TargetCatalog catalog,
            Collection<ServerRegistration> registrations) {
        /** Returns all servers, and how requests to them are limited while they are cold. */
        Map<BackendServer.Lifetime, ColdServers.Listed> coldStarts(GatewaySettings.Bounds bounds) {
            Map<BackendServer.Lifetime, ColdServers.Listed> result = new HashMap<>();
            for (ServerRegistration r : registrations) {
                ColdStart cold = configuration
                        .service(r.server().service())
                        .map(FleetService::coldStart)
                        .orElse(ColdStart.UNLIMITED);
                ColdLimit limit = ColdLimit.of(cold.perSecond(), bounds.coldOverage(), bounds.coldSlack());
                result.put(r.server().lifetime(), new ColdServers.Listed(cold, limit, r.sequence(), r.coldLeft()));
            }
            return result;
        }
    }

    /** Returns the targets and servers; empty until a configuration and the list of backend servers are known. */
    synchronized Optional<Listing> listing() {
        return listing;
    }

    /** Sets the servers that have announced that they are leaving; they count as draining whatever the list says. */
    synchronized void markLeaving(Set<BackendServer.Lifetime> all) {
        leaving = Set.copyOf(all);
        rebuildCatalog();
    }

    synchronized Collection<BackendServer> servers() {
        if (leaving.isEmpty()) {
            return servers.all();
        }
        return servers.all().stream()
                .map(s -> leaving.contains(s.lifetime()) ? s.draining() : s)
                .toList();
    }

    /** Returns the path of health checks of a server; that of the root if its service is not configured. */
    String healthPath(BackendServer server) {
        return configuration()
                .flatMap(c -> c.service(server.service()))
                .map(FleetService::healthPath)
                .orElse("/");
    }

    /** Returns whether a server is listed and accepts new requests. */
    synchronized boolean isServing(BackendServer.Lifetime server) {
        return servers().stream().anyMatch(s -> s.lifetime().equals(server) && s.ready());
    }

    /** Returns whether another lifetime of a backend server is listed, so that the given one has ended. */
    synchronized boolean isReplaced(BackendServer.Lifetime server) {
        return servers().stream()
                .map(BackendServer::lifetime)
                .anyMatch(l -> l.id().equals(server.id()) && !l.equals(server));
    }

    /** Returns whether a configuration and the list of backend servers are known. */
    synchronized boolean isComplete() {
        return configuration.isPresent() && serversRead;
    }
}
