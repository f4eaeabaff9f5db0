package org.baobabspindle.core.formation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.id.FabricDomain;

/**
 * The target groups of a fleet and the changes that lead there, by domain.
 *
 * @param domains the plans of the domains, ordered by domain
 */
record FleetPlan(List<DomainPlan> domains) {
    FleetPlan {
        domains = List.copyOf(domains);
    }

    /**
     * The plan of one domain.
     *
     * @param state the current state of the domain
     * @param donors the groups to dissolve, whose engines go to groups of another model
     * @param groups the groups to form, largest model first; their members may have to leave another group first
     * @param spares the engines that no group uses
     */
    record DomainPlan(
            DomainState state, List<GroupKey> donors, List<GroupPlanner.Plan> groups, List<BackendServer> spares) {
        DomainPlan {
            donors = List.copyOf(donors);
            groups = List.copyOf(groups);
            spares = List.copyOf(spares);
        }

        /** Returns a summary of the plan for logs; empty if the domain does not change. */
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
         * Returns the donors of the first planned group that has any and needs no loads. Donors of a group that still
         * needs loads keep serving until the hosts of its members hold the weights.
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

    /** Returns the plan of the first domain in which groups can be dissolved now. */
    Optional<DomainPlan> nextConversion() {
        for (DomainPlan d : domains) {
            if (!d.nextDonors().isEmpty()) {
                return Optional.of(d);
            }
        }
        return Optional.empty();
    }

    /** Returns the plan of a domain, if the fleet has it. */
    Optional<DomainPlan> domain(FabricDomain domain) {
        for (DomainPlan d : domains) {
            if (d.state().domain().equals(domain)) {
                return Optional.of(d);
            }
        }
        return Optional.empty();
    }
}
