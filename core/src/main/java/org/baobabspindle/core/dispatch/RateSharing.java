package org.baobabspindle.core.dispatch;

import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.group.Rendezvous;
import org.baobabspindle.core.id.InstanceId;

/**
 * Divides the rate limit of a backend server among the entries. Only some of the entries send requests to a server with
 * a low limit, since each of them may send one request at once after it has been idle: a server with limit r, in requests
 * per second, gets at most 4.25 r + sharers requests in 4 s. All entries derive the same division from the same set of
 * entries.
 *
 * @param self this entry
 * @param entries the entries that share the limits, this one included
 */
public record RateSharing(InstanceId self, Set<InstanceId> entries) {
    /** The entries that share the lowest limit. */
    private static final int MIN_ENTRIES = 4;

    /** The further entries that share a limit, for each request per second that it allows. */
    private static final double ENTRIES_PER_REQUEST_RATE = 1.5;

    /** Copies the set of entries. */
    public RateSharing {
        entries = Set.copyOf(entries);
    }

    /**
     * Returns the share of this entry in the limit of a server.
     *
     * @param server the server
     * @param perSecond the limit in requests per second
     * @return the share between 0 and 1; 0 if this entry must not send requests to the server
     */
    public double share(BackendServer.Lifetime server, double perSecond) {
        return share(server, (int) Math.min(entries.size(), MIN_ENTRIES + ENTRIES_PER_REQUEST_RATE * perSecond));
    }

    /**
     * Returns the share of this entry in the limit of a server that a given number of entries share.
     *
     * @param server the server
     * @param maxSharers the maximum number of entries that share the limit
     * @return the share between 0 and 1; 0 if this entry must not send requests to the server
     */
    public double share(BackendServer.Lifetime server, int maxSharers) {
        int sharers = Math.min(entries.size(), maxSharers);
        int rank = Rendezvous.rank(server.format(), entries).indexOf(self);
        return rank >= 0 && rank < sharers ? 1.0 / sharers : 0;
    }
}
