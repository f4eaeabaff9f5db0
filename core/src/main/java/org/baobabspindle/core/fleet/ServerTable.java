package org.baobabspindle.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;

/**
 * The backend servers as listed in the store. A removal that arrives during or shortly after an outage of the store is
 * applied only after a grace period, because servers whose registration expired while they could not reach the store
 * register again after the outage. This class is not thread-safe.
 */
public final class ServerTable {
    /** Servers whose registration expired during an outage are listed again about 2 s after it; 0.5 s is a margin. */
    private static final Duration REMOVAL_GRACE_PERIOD = Duration.ofMillis(2_500);

    private final Map<InstanceId, BackendServer> servers = new HashMap<>();
    private final Map<InstanceId, Moment> removalsDue = new HashMap<>();
    private Moment gracePeriodEnd;

    /** Creates an empty table. */
    public ServerTable() {}

    /**
     * Records that the store is reachable again after an outage, which starts the grace period for removals.
     *
     * @param now the current time
     */
    public void storeRecovered(Moment now) {
        gracePeriodEnd = now.plus(REMOVAL_GRACE_PERIOD);
    }

    /**
     * Adds or updates a backend server and cancels its pending removal. An engine that is in no group no longer reports
     * a model, but still joins a group of its last model sooner, so the model is kept until the lifetime of the engine
     * ends.
     *
     * @param server the backend server
     */
    public void put(BackendServer server) {
        BackendServer before = servers.get(server.id());
        boolean keepsModel =
                server.model().isEmpty() && before != null && before.lifetime().equals(server.lifetime());
        servers.put(server.id(), keepsModel ? server.withModel(before.model()) : server);
        removalsDue.remove(server.id());
    }

    /**
     * Removes a backend server, after the grace period if one is running.
     *
     * @param id the identifier of the backend server
     * @param now the current time
     */
    public void remove(InstanceId id, Moment now) {
        if (gracePeriodEnd != null && now.isBefore(gracePeriodEnd)) {
            removalsDue.putIfAbsent(id, gracePeriodEnd);
        } else {
            servers.remove(id);
        }
    }

    /**
     * Removes all backend servers that a complete listing does not contain.
     *
     * @param listed the identifiers of all listed records, including those that could not be parsed
     * @param now the current time
     */
    public void retain(Set<InstanceId> listed, Moment now) {
        for (InstanceId id : new HashSet<>(servers.keySet())) {
            if (!listed.contains(id)) {
                remove(id, now);
            }
        }
    }

    /**
     * Removes the backend servers whose grace period is over.
     *
     * @param now the current time
     * @return whether any server was removed
     */
    public boolean applyDueRemovals(Moment now) {
        List<InstanceId> due = new ArrayList<>();
        removalsDue.forEach((id, dueAt) -> {
            if (!now.isBefore(dueAt)) {
                due.add(id);
            }
        });
        due.forEach(id -> {
            removalsDue.remove(id);
            servers.remove(id);
        });
        return !due.isEmpty();
    }

    /**
     * Returns the backend servers.
     *
     * @return an immutable copy
     */
    public Collection<BackendServer> all() {
        return List.copyOf(servers.values());
    }
}
