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
 * register again after the outage. A store that was restored from an older copy lists servers as they were; until they
 * have registered again, such a registration does not replace a later one, and a server that has left is not added. This
 * class is not thread-safe.
 */
public final class ServerTable {
    /** Servers whose registration expired during an outage are listed again about 2 s after it; 0.5 s is a margin. */
    private static final Duration REMOVAL_GRACE_PERIOD = Duration.ofMillis(2_500);

    /**
     * How long a restored store may list servers that have left: their registrations expire after several missed
     * heartbeats.
     */
    private static final Duration RESTORE_PERIOD = Duration.ofSeconds(6);

    /** How long a removed server is remembered; much longer than the age of a copy from which a store is restored. */
    private static final Duration REMOVED_RETENTION = Duration.ofMinutes(2);

    private final Map<InstanceId, ServerRegistration> servers = new HashMap<>();
    private final Map<InstanceId, Moment> removalsDue = new HashMap<>();
    private final Map<InstanceId, Removed> removed = new HashMap<>();

    /** Registrations that may be older than the removal of their server, added when the restore period ends. */
    private final Map<InstanceId, ServerRegistration> outdated = new HashMap<>();

    private Moment gracePeriodEnd;
    private Moment restorePeriodEnd;

    /** Creates an empty table. */
    public ServerTable() {}

    private record Removed(ServerRegistration last, Moment at) {}

    /**
     * Records that the store is reachable again after an outage, which starts the grace period for removals.
     *
     * @param now the current time
     */
    public void storeRecovered(Moment now) {
        gracePeriodEnd = now.plus(REMOVAL_GRACE_PERIOD);
    }

    /**
     * Records that the store was restored from an older copy; called before its list is applied.
     *
     * @param now the current time
     */
    public void storeRestored(Moment now) {
        storeRecovered(now);
        restorePeriodEnd = now.plus(RESTORE_PERIOD);
    }

    private boolean inRestorePeriod(Moment now) {
        return restorePeriodEnd != null && now.isBefore(restorePeriodEnd);
    }

    /**
     * Adds or updates a backend server and cancels its pending removal. An engine that is in no group no longer reports
     * a model, but still joins a group of its last model sooner, so the model is kept until the lifetime of the engine
     * ends.
     *
     * @param registration the registration of the backend server
     * @param now the current time
     */
    public void put(ServerRegistration registration, Moment now) {
        InstanceId id = registration.server().id();
        ServerRegistration known = servers.get(id);
        if (inRestorePeriod(now) && known != null && registration.isBefore(known)) {
            return;
        }
        Removed last = removed.get(id);
        if (inRestorePeriod(now)
                && known == null
                && last != null
                && !last.last().isBefore(registration)) {
            outdated.put(id, registration);
            return;
        }
        add(registration);
    }

    private void add(ServerRegistration registration) {
        BackendServer server = registration.server();
        InstanceId id = server.id();
        ServerRegistration known = servers.get(id);
        boolean keepsModel = server.model().isEmpty()
                && known != null
                && known.server().lifetime().equals(server.lifetime());
        servers.put(
                id,
                keepsModel
                        ? new ServerRegistration(
                                server.withModel(known.server().model()),
                                registration.sequence(),
                                registration.coldLeft())
                        : registration);
        removalsDue.remove(id);
        outdated.remove(id);
        removed.remove(id);
    }

    /**
     * Removes a backend server, after the grace period if one is running.
     *
     * @param id the identifier of the backend server
     * @param now the current time
     */
    public void remove(InstanceId id, Moment now) {
        outdated.remove(id);
        if (gracePeriodEnd != null && now.isBefore(gracePeriodEnd)) {
            removalsDue.putIfAbsent(id, gracePeriodEnd);
        } else {
            removeAtOnce(id, now);
        }
    }

    private void removeAtOnce(InstanceId id, Moment now) {
        removed.values().removeIf(r -> now.since(r.at()).compareTo(REMOVED_RETENTION) > 0);
        ServerRegistration last = servers.remove(id);
        if (last != null) {
            removed.put(id, new Removed(last, now));
        }
    }

    /**
     * Removes all backend servers that a complete listing does not contain.
     *
     * @param listed the identifiers of all listed records, including those that could not be parsed
     * @param now the current time
     */
    public void retain(Set<InstanceId> listed, Moment now) {
        outdated.keySet().retainAll(listed);
        for (InstanceId id : new HashSet<>(servers.keySet())) {
            if (!listed.contains(id)) {
                remove(id, now);
            }
        }
    }

    /**
     * Applies the changes that were delayed and are due: removes the backend servers whose grace period is over, and
     * adds those that the store still lists when the restore period has ended.
     *
     * @param now the current time
     * @return whether any server was removed or added
     */
    public boolean applyDueChanges(Moment now) {
        List<InstanceId> due = new ArrayList<>();
        removalsDue.forEach((id, dueAt) -> {
            if (!now.isBefore(dueAt)) {
                due.add(id);
            }
        });
        due.forEach(id -> {
            removalsDue.remove(id);
            removeAtOnce(id, now);
        });
        List<ServerRegistration> listedStill = inRestorePeriod(now) ? List.of() : List.copyOf(outdated.values());
        listedStill.forEach(this::add);
        return !due.isEmpty() || !listedStill.isEmpty();
    }

    /**
     * Returns the backend servers.
     *
     * @return an immutable copy
     */
    public Collection<BackendServer> all() {
        return servers.values().stream().map(ServerRegistration::server).toList();
    }

    /**
     * Returns the last registrations of the backend servers.
     *
     * @return an immutable copy
     */
    public Collection<ServerRegistration> registrations() {
        return List.copyOf(servers.values());
    }
}
