package org.baobabspindle.core.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * Limits the requests of this entry to backend servers that state a rate limit in their responses, and to cold servers
 * ({@link ColdLimit}). A limit applies to the requests of all entries together; each entry sends its share of them
 * ({@link RateSharing}), so that the limit also holds while entries cannot reach each other. This class is not
 * thread-safe.
 */
public final class ServerRateLimits {
    /**
     * The lowest rate at which requests are sent to a server, per second. Only its response to a request shows that its
     * limit has ended.
     */
    private static final double MIN_RATE = 0.25;

    /** The time for which an idle entry accumulates its share of the limit, in addition to one request. */
    private static final Duration MAX_IDLE_CREDIT = Duration.ofMillis(250);

    /** How long the end of a limit is reported to other entries, which may know an older limit. */
    private static final Duration END_RETENTION = Duration.ofSeconds(10);

    /** How long a limit is kept without a further response of the server, which has terminated by then. */
    private static final Duration LIMIT_RETENTION = Duration.ofMinutes(5);

    private final Map<BackendServer.Lifetime, Limit> limits = new HashMap<>();
    private final ColdServers cold = new ColdServers();
    private final SharingMembers members;
    private RateSharing sharing;

    /**
     * What a response of a server stated.
     *
     * @param perSecond the limit in requests per second; empty if the server stated none
     * @param receivedAt when this entry, or the entry that reported it, received the response
     */
    public record Report(OptionalDouble perSecond, Moment receivedAt) {
        private boolean expired(Moment now) {
            Duration retention = perSecond.isPresent() ? LIMIT_RETENTION : END_RETENTION;
            return now.since(receivedAt).compareTo(retention) > 0;
        }
    }

    /** The last report of a server, and the requests that this entry may send to it now. */
    private static final class Limit {
        private Report report;
        private final RequestCredit credit;

        Limit(Report report, double share, double credit, Moment now) {
            this.report = report;
            double rate = active() ? Math.max(MIN_RATE, report.perSecond().getAsDouble()) * share : 0;
            this.credit = new RequestCredit(rate, MAX_IDLE_CREDIT, credit, now);
        }

        boolean active() {
            return report.perSecond().isPresent();
        }
    }

    /**
     * Creates an object without limits, for an entry that knows no others.
     *
     * @param self this entry
     */
    public ServerRateLimits(InstanceId self) {
        this.sharing = new RateSharing(self, Set.of(self));
        this.members = new SharingMembers(self);
    }

    /**
     * Changes the entries that share the limits.
     *
     * @param entries the entries, this one included
     * @param now the present time
     */
    public void updateEntries(Set<InstanceId> entries, Moment now) {
        if (entries.equals(sharing.entries())) {
            return;
        }
        sharing = new RateSharing(sharing.self(), entries);
        limits.replaceAll(
                (server, limit) -> limit.active() ? limit(server, limit.report, limit.credit.amount(now), now) : limit);
    }

    private Limit limit(BackendServer.Lifetime server, Report report, double credit, Moment now) {
        double share = report.perSecond().isPresent()
                ? sharing.share(server, report.perSecond().getAsDouble())
                : 0;
        return new Limit(report, share, credit, now);
    }

    /**
     * Applies a report, unless a later response of the server is known.
     *
     * @param server the server
     * @param report what it stated
     * @param now the present time
     * @return whether the limit of the server has changed
     */
    public boolean apply(BackendServer.Lifetime server, Report report, Moment now) {
        Limit known = limits.get(server);
        boolean outdated = known == null
                ? report.perSecond().isEmpty() || report.expired(now)
                : report.receivedAt().isBefore(known.report.receivedAt());
        if (outdated) {
            return false;
        }
        if (known != null && known.report.perSecond().equals(report.perSecond())) {
            known.report = report;
            return false;
        }
        limits.put(server, limit(server, report, known != null && known.active() ? known.credit.amount(now) : 0, now));
        return true;
    }

    /**
     * Returns whether a server has a limit.
     *
     * @param server the server
     * @return whether its last known response states a limit
     */
    public boolean isLimited(BackendServer.Lifetime server) {
        Limit limit = limits.get(server);
        return limit != null && limit.active();
    }

    /**
     * Returns whether this entry may send a request to a server now.
     *
     * @param server the server
     * @param now the present time
     * @return whether the limits of the server, if it has any, allow a request
     */
    public boolean isAvailable(BackendServer.Lifetime server, Moment now) {
        boolean allowed = !isLimited(server) || limits.get(server).credit.amount(now) >= 1;
        return allowed && !isWithheld(server, now);
    }

    /**
     * Returns whether this entry must not send a request to a server now because the server is cold.
     *
     * @param server the server
     * @param now the present time
     * @return whether the server is cold and its limit allows no request
     */
    public boolean isWithheld(BackendServer.Lifetime server, Moment now) {
        return cold.isCold(server, now) && coldCredit(server, now).amount(now) < 1;
    }

    private RequestCredit coldCredit(BackendServer.Lifetime server, Moment now) {
        return cold.credit(server, members.sharing(now), now);
    }

    /**
     * Counts a request to a server against its limits, if it has any.
     *
     * @param server the server
     * @param now the present time
     */
    public void requestSent(BackendServer.Lifetime server, Moment now) {
        if (isLimited(server)) {
            limits.get(server).credit.spend(now);
        }
        if (cold.isCold(server, now)) {
            coldCredit(server, now).spend(now);
        }
    }

    /**
     * Returns the rate at which this entry may send requests to a server that has a limit.
     *
     * @param server the server
     * @return the requests per second; 0 if other entries use up the limit
     */
    public double ownRate(BackendServer.Lifetime server) {
        return limits.get(server).credit.rate();
    }

    /**
     * Returns the rate at which this entry may send requests to a server that has a limit, is cold, or both.
     *
     * @param server the server
     * @param now the present time
     * @return the requests per second; 0 if other entries use up a limit; empty if there is no limit
     */
    public OptionalDouble ownRate(BackendServer.Lifetime server, Moment now) {
        double rate = isLimited(server) ? ownRate(server) : Double.POSITIVE_INFINITY;
        if (cold.isCold(server, now)) {
            rate = Math.min(rate, coldCredit(server, now).rate());
        }
        return Double.isInfinite(rate) ? OptionalDouble.empty() : OptionalDouble.of(rate);
    }

    /**
     * Returns the requests that this entry may send at once to a server that has a limit, is cold, or both.
     *
     * @param server the server
     * @param now the present time
     * @return the number of requests
     */
    public int ownCredit(BackendServer.Lifetime server, Moment now) {
        double credit = isLimited(server) ? limits.get(server).credit.amount(now) : Double.MAX_VALUE;
        if (cold.isCold(server, now)) {
            credit = Math.min(credit, coldCredit(server, now).amount(now));
        }
        return Math.max(0, (int) credit);
    }

    /**
     * Returns the servers that are cold, and what is known of them.
     *
     * @return the cold servers
     */
    public ColdServers cold() {
        return cold;
    }

    /**
     * Applies a read of the announcements of entries, which share the limits of cold servers.
     *
     * @param changes the announcements that were read
     * @param requestedAt when the read was requested
     * @param now the present time
     */
    public void announcementsRead(EntryChanges changes, Moment requestedAt, Moment now) {
        members.announcementsRead(changes, requestedAt, now);
    }

    /**
     * Records that another entry has sent a message to this one.
     *
     * @param entry the other entry
     */
    public void heardFrom(InstanceId entry) {
        members.heardFrom(entry);
    }

    /**
     * Records that another entry has answered a message of this one.
     *
     * @param entry the other entry
     * @param requestedAt when the message was sent
     */
    public void answered(InstanceId entry, Moment requestedAt) {
        members.answered(entry, requestedAt);
    }

    /**
     * Returns the reports that other entries need.
     *
     * @param now the present time
     * @return the last reports of servers that have a limit, or had one a short time ago
     */
    public Map<BackendServer.Lifetime, Report> reports(Moment now) {
        limits.values().removeIf(l -> l.report.expired(now));
        Map<BackendServer.Lifetime, Report> result = new HashMap<>();
        limits.forEach((server, limit) -> result.put(server, limit.report));
        return result;
    }
}
