package org.baobabspindle.core.formation;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.AvailabilityZone;

/**
 * Separates the engines of evacuated availability zones from those that are planned with. They get no orders, so that
 * their groups can serve again at once when the evacuation is withdrawn.
 */
public final class EvacuatedEngines {
    private EvacuatedEngines() {}

    /**
     * Returns the engines that are planned with.
     *
     * @param engines the engines of a service
     * @param evacuated the evacuated zones
     * @return the engines outside of these zones, without the members of groups that have a member in them
     */
    public static List<BackendServer> remove(Collection<BackendServer> engines, Set<AvailabilityZone> evacuated) {
        if (evacuated.isEmpty()) {
            return List.copyOf(engines);
        }
        Set<GroupKey> groups = new HashSet<>();
        for (BackendServer s : engines) {
            if (evacuated.contains(s.zone())) {
                s.group().ifPresent(m -> groups.add(m.key()));
            }
        }
        return engines.stream()
                .filter(s -> !evacuated.contains(s.zone())
                        && s.group().filter(m -> groups.contains(m.key())).isEmpty())
                .toList();
    }
}
