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
 * The backend servers as the store lists them. A removal that comes with or shortly after an outage of the store takes
 * effect only after a while, because servers that could not reach the store are listed again once they do.
 */
public final class ServerTable {
    /** Servers that lapsed during an outage are listed again about two seconds after it; half a second on top. */
    private static final Duration RETURN_TIME = Duration.ofMillis(2_500);

    private final Map<InstanceId, BackendServer> servers = new HashMap<>();
    private final Map<InstanceId, Moment> leaving = new HashMap<>();
    private Moment doubtUntil;

    /** Creates an empty table. */
    public ServerTable() {}

    /**
     * Notes that the store could not be reached until now.
     *
     * @param now the present time
     */
    public void storeRecovered(Moment now) {
        doubtUntil = now.plus(RETURN_TIME);
    }

    /**
     * Takes over a record. An engine that is in no group no longer reports a model, but still joins a group of its last
     * one sooner, so the model is kept for as long as the engine lives.
     *
     * @param server the backend server
     */
    public void put(BackendServer server) {
        BackendServer before = servers.get(server.id());
        boolean forgets =
                server.model().isEmpty() && before != null && before.lifetime().equals(server.lifetime());
        servers.put(server.id(), forgets ? server.withModel(before.model()) : server);
        leaving.remove(server.id());
    }

    /**
     * Takes over a removal.
     *
     * @param id the backend server
     * @param now the present time
     */
    public void remove(InstanceId id, Moment now) {
        if (doubtUntil != null && now.isBefore(doubtUntil)) {
            leaving.putIfAbsent(id, doubtUntil);
        } else {
            servers.remove(id);
        }
    }

    /**
     * Takes over a whole list.
     *
     * @param listed the ids of all records, also of those that could not be read
     * @param now the present time
     */
    public void retain(Set<InstanceId> listed, Moment now) {
        for (InstanceId id : new HashSet<>(servers.keySet())) {
            if (!listed.contains(id)) {
                remove(id, now);
            }
        }
    }

    /**
     * Removes those whose time to return is over.
     *
     * @param now the present time
     * @return whether any was removed
     */
    public boolean applyDueRemovals(Moment now) {
        List<InstanceId> over = new ArrayList<>();
        leaving.forEach((id, until) -> {
            if (!now.isBefore(until)) {
                over.add(id);
            }
        });
        over.forEach(id -> {
            leaving.remove(id);
            servers.remove(id);
        });
        return !over.isEmpty();
    }

    /**
     * Returns the backend servers.
     *
     * @return a copy
     */
    public Collection<BackendServer> all() {
        return List.copyOf(servers.values());
    }
}
