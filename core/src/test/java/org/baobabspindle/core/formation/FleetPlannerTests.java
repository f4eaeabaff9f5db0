package org.baobabspindle.core.formation;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.id.FabricDomain;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Uses the fleet of further/plumes-mbour.toml unless stated otherwise: 11 engines per domain, groups of 6 and of 3. */
class FleetPlannerTests {
    private static final double DEMAND_LARGE = 76;
    private static final double DEMAND_SMALL = 39;

    private final Fleets fleets = new Fleets(6, 3);

    private List<DomainState> servingDomains(int count) {
        List<DomainState> domains = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String name = "d" + i;
            domains.add(fleets.domain(name, 1, 1, fleets.engines(name, "spare", fleets.large(), 2)));
        }
        return domains;
    }

    private FleetPlan plan(List<DomainState> domains) {
        return fleets.plan(domains, DEMAND_LARGE, DEMAND_SMALL);
    }

    @Test
    void keepsFleetThatServesItsDemand() {
        for (FleetPlan.DomainPlan d : plan(servingDomains(6)).domains()) {
            assertThat(d.donors()).isEmpty();
            assertThat(d.groups()).isEmpty();
            assertThat(d.spares()).hasSize(2);
        }
    }

    @Test
    void planDoesNotDependOnOrderOfDomains() {
        List<DomainState> domains = servingDomains(5);
        List<BackendServer> free = new ArrayList<>(fleets.engines("d9", "s", fleets.small(), 4));
        free.addAll(Fleets.enginesWithoutWeights("d9", 7));
        domains.add(fleets.domain("d9", 0, 0, free));
        FleetPlan first = plan(domains);
        Collections.shuffle(domains, new Random(4));
        assertThat(plan(domains)).isEqualTo(first);
    }

    @Test
    void cachedOptionsGiveSamePlan() {
        DomainOptionsCache cache = new DomainOptionsCache();
        List<DomainState> domains = servingDomains(6);
        Random random = new Random(7);
        for (int i = 0; i < 30; i++) {
            int at = random.nextInt(domains.size());
            String name = domains.get(at).domain().value();
            List<BackendServer> free = Fleets.enginesWithoutWeights(name, random.nextInt(9));
            domains.set(at, fleets.domain(name, random.nextInt(2), 1, free));
            ModelDemand demand = Fleets.demand(20 + random.nextInt(90), 20 + random.nextInt(60));
            FleetPlan fresh = Fleets.plan(domains, fleets.context(1), demand);
            assertThat(FleetPlanner.plan(domains, fleets.context(1), demand, cache))
                    .isEqualTo(fresh);
        }
    }

    @Nested
    class AfterLoss {
        @Test
        void reformsLargeGroupFromSurvivorsAndSpare() {
            List<DomainState> domains = servingDomains(5);
            List<BackendServer> free = new ArrayList<>(fleets.engines("d5", "survivor", fleets.large(), 5));
            free.addAll(fleets.engines("d5", "spare", fleets.large(), 2));
            domains.add(fleets.domain("d5", 0, 1, free));
            FleetPlan.DomainPlan d = plan(domains).domain(FabricDomain.of("d5")).orElseThrow();
            assertThat(d.groups()).hasSize(1);
            assertThat(d.groups().get(0).model()).isEqualTo(fleets.large());
            assertThat(d.groups().get(0).loadCount()).isEqualTo(0);
        }

        @Test
        void freeEnginesWaitForSurvivorsOfDissolvingGroup() {
            List<DomainState> domains = servingDomains(5);
            List<BackendServer> survivors = fleets.engines("d5", "survivor", fleets.large(), 5);
            List<BackendServer> spares = fleets.engines("d5", "spare", fleets.large(), 3);
            domains.add(fleets.domain("d5", 0, 1, spares, survivors));
            FleetPlan.DomainPlan d = plan(domains).domain(FabricDomain.of("d5")).orElseThrow();
            assertThat(d.groups().stream().map(GroupPlanner.Plan::model).toList())
                    .containsExactly(fleets.large());
        }

        /**
         * Guards against planning domain by domain: each loss turned a large group into small ones, 15 of 3 and one of
         * 6 after 33 s.
         */
        @Test
        void keepsLargeGroupsAcrossRepeatedLosses() {
            List<DomainState> domains = servingDomains(6);
            Random random = new Random(20261204);
            for (int loss = 0; loss < 60; loss++) {
                int at = random.nextInt(domains.size());
                domains.set(at, lose(domains.get(at), random, loss));
                domains = apply(plan(domains));
                FleetPlan plan = plan(domains);
                assertWithMessage("large groups after loss %s", loss)
                        .that(Fleets.groups(plan, fleets.large()))
                        .isAtLeast(5);
                assertThat(Fleets.groups(plan, fleets.small())).isAtLeast(3);
            }
        }

        /** Restarts one member of the domain without weights, which dissolves its group. */
        private DomainState lose(DomainState d, Random random, int loss) {
            int group = random.nextInt(d.groups().size());
            DomainState.Group hit = d.groups().get(group);
            List<DomainState.Group> left = new ArrayList<>(d.groups());
            left.remove(group);
            List<BackendServer> free = new ArrayList<>(d.free());
            List<BackendServer> members = new ArrayList<>(hit.members());
            members.remove(random.nextInt(members.size()));
            free.addAll(members);
            free.add(Engines.free(d.domain().value() + "-new" + loss, d.domain().value()));
            return new DomainState(d.domain(), left, free, List.of(), Map.of());
        }

        /** Returns the domains after all planned groups were formed and the spares staged the large model. */
        private List<DomainState> apply(FleetPlan plan) {
            List<DomainState> result = new ArrayList<>();
            for (FleetPlan.DomainPlan d : plan.domains()) {
                List<BackendServer> spares = d.spares().stream()
                        .map(s -> Engines.withStaged(s, fleets.large()))
                        .toList();
                DomainState fresh = fleets.domain(
                        d.state().domain().value(),
                        Fleets.groups(d, fleets.large()),
                        Fleets.groups(d, fleets.small()),
                        spares);
                result.add(fresh);
            }
            return result;
        }

        @Test
        void convertsDomainsWithOnlySmallGroupsBackToLargeGroups() {
            List<DomainState> domains = new ArrayList<>();
            for (int i = 0; i < 6; i++) {
                domains.add(fleets.domain("d" + i, i == 0 ? 1 : 0, i == 0 ? 1 : 3, List.of()));
            }
            FleetPlan plan = plan(domains);
            assertThat(Fleets.groups(plan, fleets.large())).isAtLeast(5);
            assertThat(plan.nextConversion()).isPresent();
            assertThat(plan.nextConversion().get().nextDonors()).hasSize(2);
        }

        @Test
        void keepsLargeGroupsOfOtherDomainsWhenOneDomainIsLost() {
            List<DomainState> domains = servingDomains(5);
            FleetPlan plan = plan(domains);
            assertThat(Fleets.groups(plan, fleets.large())).isEqualTo(5);
            assertThat(plan.nextConversion()).isEmpty();
        }
    }

    @Nested
    class Policies {
        /** Plans for a fleet that lacks small groups, where a large group could be converted into two small ones. */
        private FleetPlan planWith(double downtimeWeight) {
            List<DomainState> domains = servingDomains(6);
            return Fleets.plan(domains, fleets.context(downtimeWeight), Fleets.demand(50, 150));
        }

        @Test
        void keepsGroupsWhenDowntimeHasHighWeight() {
            assertThat(planWith(20).nextConversion()).isEmpty();
        }

        @Test
        void dissolvesGroupsWhenOnlyStrandedEnginesCount() {
            assertThat(planWith(0).nextConversion()).isPresent();
        }
    }

    @Nested
    class GroupSizes {
        /**
         * Checks that no model is short of its demand while the other one has at least twice its demand. Small groups
         * are exempt as far as they fit into the part of a domain that is too small for a large group.
         */
        private void checkBalance(int largeSize, int smallSize, int domainSize) {
            Fleets shape = new Fleets(largeSize, smallSize);
            Random random = new Random(largeSize * 100L + domainSize);
            for (int round = 0; round < 20; round++) {
                int count = 2 + random.nextInt(7);
                List<DomainState> domains = new ArrayList<>();
                for (int i = 0; i < count; i++) {
                    domains.add(shape.domain("d" + i, 0, 0, Fleets.enginesWithoutWeights("d" + i, domainSize)));
                }
                double slots = (double) count * domainSize * Fleets.SLOTS * (0.3 + 0.5 * random.nextDouble());
                double share = 0.2 + 0.6 * random.nextDouble();
                double demandLarge = slots * share / largeSize;
                double demandSmall = slots * (1 - share) / smallSize;
                FleetPlan plan =
                        Fleets.plan(domains, shape.contextBeforeRequests(), Fleets.demand(demandLarge, demandSmall));
                double large = Fleets.groups(plan, shape.large()) * Fleets.SLOTS / demandLarge;
                double small = Fleets.groups(plan, shape.small()) * Fleets.SLOTS / demandSmall;
                String description = String.format(
                        "%d+%d of %d, %d domains, coverage %.2f and %.2f",
                        largeSize, smallSize, domainSize, count, large, small);
                boolean spareSmall =
                        Fleets.groups(plan, shape.small()) > count * ((domainSize % largeSize) / smallSize);
                assertWithMessage(description)
                        .that(large < 1 && small >= 2 && spareSmall)
                        .isFalse();
                assertWithMessage(description).that(small < 1 && large >= 2).isFalse();
            }
        }

        @Test
        void balancesGroupsOfFourAndTwoInDomainsOfTen() {
            checkBalance(4, 2, 10);
        }

        @Test
        void balancesGroupsOfSixAndThreeInDomainsOfEleven() {
            checkBalance(6, 3, 11);
        }

        @Test
        void balancesGroupsOfTwelveAndSixInDomainsOfTwentySeven() {
            checkBalance(12, 6, 27);
        }

        @Test
        void balancesGroupsOfEightAndFourInDomainsOfNineteen() {
            checkBalance(8, 4, 19);
        }

        @Test
        void balancesGroupsOfEightAndTwoInDomainsOfEighteen() {
            checkBalance(8, 2, 18);
        }

        @Test
        void ignoresModelThatFitsNoDomain() {
            Fleets shape = new Fleets(30, 3);
            List<DomainState> domains = List.of(shape.domain("d0", 0, 0, Fleets.enginesWithoutWeights("d0", 11)));
            FleetPlan plan = Fleets.plan(domains, shape.contextBeforeRequests(), Fleets.demand(50, 50));
            assertThat(Fleets.groups(plan, shape.large())).isEqualTo(0);
            assertThat(Fleets.groups(plan, shape.small())).isEqualTo(3);
        }
    }

    @Test
    void prefersStagingEngineToOneWithoutWeights() {
        List<BackendServer> free = new ArrayList<>(fleets.engines("d0", "survivor", fleets.large(), 5));
        free.addAll(Fleets.enginesWithoutWeights("d0", 2));
        BackendServer staging = free.get(6);
        DomainState withoutStaging = fleets.domain("d0", 0, 1, free);
        DomainState state = new DomainState(
                withoutStaging.domain(), withoutStaging.groups(), free, List.of(), Map.of(staging.lifetime(), "large"));
        FleetPlan plan = fleets.plan(List.of(state), DEMAND_LARGE, DEMAND_SMALL);
        Optional<GroupPlanner.Plan> large =
                plan.domains().get(0).groups().stream().findFirst();
        assertThat(large.orElseThrow().members()).contains(staging);
    }
}
