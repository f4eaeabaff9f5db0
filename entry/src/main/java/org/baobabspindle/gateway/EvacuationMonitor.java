package org.baobabspindle.gateway;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.port.FeedPage;

/** Feeds the table of evacuated zones, stops requests to them as early as possible, and exposes their metrics. */
final class EvacuationMonitor {
    private final GatewayContext context;
    private final EvacuationTable evacuations;
    private final PeerMesh mesh;

    EvacuationMonitor(GatewayContext context, PeerMesh mesh, GatewayMetrics metrics) {
        this.context = context;
        this.evacuations = context.fleet().evacuations();
        this.mesh = mesh;
        metrics.zoneGauge(
                "baobabspindle_gateway_evacuation_share",
                "Share of its usual requests that an availability zone may get.",
                () -> evacuations.shares(context.clock().now()));
        metrics.zoneGauge(
                "baobabspindle_gateway_evacuation_requests_in_progress",
                "Requests of this entry that are in progress in an evacuated availability zone.",
                evacuations::requestsInProgress);
        metrics.zoneGauge(
                "baobabspindle_gateway_evacuation_requests_sent",
                "Requests that this entry sent to an availability zone since its evacuation became known.",
                evacuations::requestsSent);
        metrics.zoneGauge(
                "baobabspindle_gateway_evacuation_slots_elsewhere",
                "Slots outside of the evacuated availability zones.",
                this::slotsElsewhere);
    }

    /** Returns the intervals at which the configuration is read; while requests wait for it, a read does not wait. */
    FeedPoller.PollIntervals readIntervals(FeedPoller.PollIntervals usual) {
        return evacuations.awaitsNews(context.clock().now())
                ? new FeedPoller.PollIntervals(Duration.ZERO, usual.minInterval())
                : usual;
    }

    /** Applies a page of the configuration feed; {@code snapshot} tells whether it contains all existing keys. */
    void pageRead(FeedPage page, boolean snapshot, Moment requestedAt) {
        evacuations.read(page, snapshot, requestedAt, context.clock().now());
    }

    /** Stops requests to evacuated zones once the other zones have enough slots; called periodically. */
    void tick(Moment now) {
        if (!evacuations.isStopPending(now)) {
            return;
        }
        Set<AvailabilityZone> zones = evacuations.zones();
        if (canServeOutside(zones, now)) {
            evacuations.stopEarly(zones, now);
        }
    }

    /** Returns whether the targets outside of some zones have the slots that the requests to all entries require. */
    private boolean canServeOutside(Set<AvailabilityZone> zones, Moment now) {
        Map<String, Double> demand = mesh.totalDemand(context.dispatcher().demand(now), now);
        return context.dispatcher().slotsOutside(zones, now).entrySet().stream()
                .allMatch(e -> e.getValue() > 0 && e.getValue() >= demand.getOrDefault(e.getKey(), 0.0));
    }

    private Map<AvailabilityZone, Number> slotsElsewhere() {
        Set<AvailabilityZone> zones = evacuations.zones();
        int slots = context.dispatcher().slotsOutside(zones, context.clock().now()).values().stream()
                .mapToInt(Integer::intValue)
                .sum();
        Map<AvailabilityZone, Number> result = new HashMap<>();
        zones.forEach(z -> result.put(z, slots));
        return result;
    }
}
