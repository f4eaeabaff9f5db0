package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;

/**
 * The groups that a fleet should consist of and how each domain gets there.
 *
 * @param domains the plans of the domains, by domain
 */
record FleetPlan(List<DomainPlan> domains) {
    FleetPlan {
        domains = List.copyOf(domains);
    }

    /**
     * What becomes of one domain.
     *
     * @param state the domain as it is
     * @param donors the groups that give their engines to groups of another model
     * @param groups the groups to form, the largest first; their members may still have to leave another group
     * @param spares the engines that no group needs
     */
    record DomainPlan(
            DomainState state, List<GroupKey> donors, List<GroupPlanner.Plan> groups, List<BackendServer> spares) {
        DomainPlan {
            donors = List.copyOf(donors);
            groups = List.copyOf(groups);
            spares = List.copyOf(spares);
        }

        /** Says what the plan comes to, for logs; empty if the domain stays as it is. */
        String summary() {
            if (groups.isEmpty() && donors.isEmpty()) {
                return "";
            }
            List<String> parts = new ArrayList<>();
            for (GroupPlanner.Plan g : groups) {
                long free = g.members().stream().filter(state.free()::contains).count();
                parts.add(String.format(
                        "%s of %d, %d free, %d to load",
                        g.model().name(), g.members().size(), free, g.loadCount()));
            }
            return String.format(
                    "%s: %d groups, %d given up, %d spares, to form %s",
                    state.domain(), state.groups().size(), donors.size(), spares.size(), parts);
        }

        /**
         * Returns the donors of the first group that has any and needs no loads. Donors of a group that does serve on
         * until its members' hosts hold the weights.
         */
        List<GroupKey> nextDonors() {
            for (GroupPlanner.Plan plan : groups) {
                List<GroupKey> result = new ArrayList<>();
                for (DomainState.Group g : state.groups()) {
                    if (donors.contains(g.key()) && g.members().stream().anyMatch(plan.members()::contains)) {
                        result.add(g.key());
                    }
                }
                if (!result.isEmpty() && plan.loadCount() == 0) {
                    return result;
                }
            }
            return List.of();
        }
    }

    /** Returns the first domain that a group shall be dissolved in. */
    Optional<DomainPlan> nextConversion() {
        for (DomainPlan d : domains) {
            if (!d.nextDonors().isEmpty()) {
                return Optional.of(d);
            }
        }
        return Optional.empty();
    }

    /** Returns the plan of a domain. */
    Optional<DomainPlan> domain(FabricDomain domain) {
        for (DomainPlan d : domains) {
            if (d.state().domain().equals(domain)) {
                return Optional.of(d);
            }
        }
        return Optional.empty();
    }
}
