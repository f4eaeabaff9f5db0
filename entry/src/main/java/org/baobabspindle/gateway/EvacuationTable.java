package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.Evacuations;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;

/** The evacuated availability zones as this entry knows them, and the requests that it sent there. */
final class EvacuationTable {
    private final FleetDecoder decoder;
    private final EventLog log;
    private final Set<AvailabilityZone> knownZones;
    private final Evacuations evacuations;
    private final Map<AvailabilityZone, Integer> inProgress = new HashMap<>();

    /** The requests sent to each evacuated zone since its evacuation became known. */
    private final Map<AvailabilityZone, Long> sentSince = new TreeMap<>();

    /**
     * Creates a table without evacuations.
     *
     * @param bound the bound in the settings; empty for the default
     * @param knownZones the zones in the settings
     */
    EvacuationTable(FleetDecoder decoder, EventLog log, Optional<Duration> bound, Set<AvailabilityZone> knownZones) {
        this.decoder = decoder;
        this.log = log;
        this.knownZones = Set.copyOf(knownZones);
        this.evacuations = new Evacuations(bound);
    }

    /**
     * Applies a page of the configuration feed.
     *
     * @param snapshot whether the records are the latest of all keys
     */
    synchronized void read(FeedPage page, boolean snapshot, Moment requestedAt, Moment now) {
        Set<AvailabilityZone> zones = snapshot ? new TreeSet<>() : new TreeSet<>(evacuations.zones());
        for (FeedRecord r : page.records()) {
            decoder.evacuatedZone(r).ifPresent(z -> {
                if (r.value().isPresent()) {
                    zones.add(z);
                } else {
                    zones.remove(z);
                }
            });
        }
        Evacuations.Position position =
                new Evacuations.Position(page.next().era(), page.next().offset());
        Evacuations.Source source = snapshot ? Evacuations.Source.SNAPSHOT : Evacuations.Source.LIVE_READ;
        update(position, zones, source, Optional.of(requestedAt), now);
    }

    /**
     * Applies what another entry stated; returns whether evacuations have changed.
     *
     * @param statedAfter a moment that is not later than the statement; empty if none is known
     */
    synchronized boolean stated(PeerMessage.EvacuationNotice notice, Optional<Moment> statedAfter, Moment now) {
        Set<AvailabilityZone> zones = new TreeSet<>();
        try {
            notice.zones().forEach(z -> zones.add(AvailabilityZone.of(z)));
            return update(
                    new Evacuations.Position(notice.era(), notice.offset()),
                    zones,
                    Evacuations.Source.PEER,
                    statedAfter
                            .filter(at -> notice.ageMillis() >= 0)
                            .map(at -> at.minus(Duration.ofMillis(notice.ageMillis()))),
                    now);
        } catch (IllegalArgumentException e) {
            log.write("evacuation", "ignoring an invalid statement of another entry: " + e.getMessage());
            return false;
        }
    }

    private boolean update(
            Evacuations.Position position,
            Set<AvailabilityZone> zones,
            Evacuations.Source source,
            Optional<Moment> provenBy,
            Moment now) {
        Evacuations.Change change = evacuations.update(position, zones, source, provenBy, now);
        for (AvailabilityZone z : change.evacuated()) {
            sentSince.put(z, 0L);
            boolean stopped = evacuations.share(z, now) == 0;
            String effect = stopped ? "requests stop now" : "requests stop once other zones have enough slots";
            write(z, "the zone is evacuated: " + effect, source);
            if (!knownZones.contains(z)) {
                write(z, "the evacuated zone is not in the settings", source);
            }
        }
        for (AvailabilityZone z : change.withdrawn()) {
            write(z, "the evacuation is withdrawn: requests return gradually", source);
        }
        if (!change.evacuated().isEmpty() && evacuations.zones().containsAll(knownZones)) {
            log.write("evacuation", "all zones are evacuated: no request can be served", "source", source);
        }
        return !change.isEmpty();
    }

    private void write(AvailabilityZone zone, String what, Evacuations.Source source) {
        Evacuations.Position p = evacuations.asOf().orElseThrow();
        log.write(
                "evacuation",
                what,
                "zone",
                zone,
                "source",
                source,
                "era",
                p.era(),
                "offset",
                p.offset(),
                "active",
                inProgress.getOrDefault(zone, 0));
    }

    /** Returns what other entries need to know; empty if evacuations are not used. */
    synchronized Optional<PeerMessage.EvacuationNotice> notice(Moment now) {
        if (!evacuations.inUse() || evacuations.asOf().isEmpty()) {
            return Optional.empty();
        }
        Evacuations.Position p = evacuations.asOf().get();
        List<String> zones = new ArrayList<>();
        evacuations.zones().forEach(z -> zones.add(z.value()));
        return Optional.of(new PeerMessage.EvacuationNotice(
                p.era(),
                p.offset(),
                zones,
                evacuations.age(now).map(Duration::toMillis).orElse(-1L)));
    }

    /** Returns whether a state was read or received from another entry. */
    synchronized boolean isKnown() {
        return evacuations.asOf().isPresent();
    }

    /** Returns whether every zone may get its usual requests. */
    synchronized boolean isIdle(Moment now) {
        return evacuations.isIdle(now);
    }

    /** Returns whether no request may be sent until the state is known to be recent. */
    synchronized boolean awaitsNews(Moment now) {
        return evacuations.awaitsNews(now);
    }

    /** Returns the share of the usual requests that a server may get. */
    synchronized double share(BackendServer server, Moment now) {
        return evacuations.share(server.zone(), now);
    }

    /** Returns whether a request may be sent to a server at this moment. */
    synchronized boolean maySend(BackendServer server, Moment now) {
        return !evacuations.awaitsNews(now) && evacuations.share(server.zone(), now) > 0;
    }

    synchronized Set<AvailabilityZone> zones() {
        return evacuations.zones();
    }

    /** Returns whether requests to an evacuated zone have not stopped yet. */
    synchronized boolean isStopPending(Moment now) {
        return evacuations.zones().stream().anyMatch(z -> evacuations.share(z, now) > 0);
    }

    /** Stops requests to evacuated zones before their time, because the other zones can serve the demand. */
    synchronized void stopEarly(Set<AvailabilityZone> zones, Moment now) {
        for (AvailabilityZone z : zones) {
            if (evacuations.stopEarly(z, now)) {
                log.write("evacuation", "the other zones have enough slots: requests stop now", "zone", z);
            }
        }
    }

    synchronized void requestSent(AvailabilityZone zone) {
        inProgress.merge(zone, 1, Integer::sum);
        if (evacuations.zones().contains(zone)) {
            sentSince.merge(zone, 1L, Long::sum);
        }
    }

    synchronized void requestEnded(AvailabilityZone zone) {
        inProgress.computeIfPresent(zone, (z, n) -> n > 1 ? n - 1 : null);
    }

    /** Returns this entry's requests in progress in each zone that was ever evacuated. */
    synchronized Map<AvailabilityZone, Number> requestsInProgress() {
        Map<AvailabilityZone, Number> result = new TreeMap<>();
        sentSince.keySet().forEach(z -> result.put(z, inProgress.getOrDefault(z, 0)));
        return result;
    }

    /** Returns how many requests this entry sent to each zone while it knew of its last evacuation. */
    synchronized Map<AvailabilityZone, Number> requestsSent() {
        return new TreeMap<>(sentSince);
    }

    /** Returns the share of its usual requests that each zone that was ever evacuated may get. */
    synchronized Map<AvailabilityZone, Number> shares(Moment now) {
        Map<AvailabilityZone, Number> result = new TreeMap<>();
        sentSince.keySet().forEach(z -> result.put(z, evacuations.share(z, now)));
        return result;
    }
}
