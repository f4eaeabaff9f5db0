package org.baobabspindle.core.group;

import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.log.ReplayedState;

/**
 * The input to the decisions of a keeper.
 *
 * @param state the replayed state
 * @param instances the engines in the platform's instance list
 * @param reports the reports of the engines
 * @param mayAppend whether the log is readable and appends may be attempted
 */
public record KeeperView(
        ReplayedState state, List<PlatformInstance> instances, ReportTable reports, boolean mayAppend) {
    /**
     * Returns the engines of a fabric domain.
     *
     * @param domain the fabric domain
     * @return the engines of the domain in the order of their incarnations
     */
    public List<PlatformInstance> instancesIn(FabricDomain domain) {
        return instances.stream()
                .filter(i -> i.domain().equals(domain))
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .toList();
    }

    /**
     * Returns the newest known incarnation of an instance, by its reports and the instance list.
     *
     * @param instance the instance
     * @return the newest incarnation, or empty if the instance is unknown
     */
    public Optional<Incarnation> newestIncarnation(InstanceId instance) {
        Optional<Incarnation> reported = reports.of(instance).map(MemberReport::member);
        Optional<Incarnation> listed = instances.stream()
                .map(PlatformInstance::id)
                .filter(i -> i.instance().equals(instance))
                .findFirst();
        if (reported.isEmpty()) {
            return listed;
        }
        return listed.filter(l -> l.compareTo(reported.get()) > 0).or(() -> reported);
    }
}
