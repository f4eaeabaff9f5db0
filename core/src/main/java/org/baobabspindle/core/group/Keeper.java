package org.baobabspindle.core.group;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.Region;
import org.baobabspindle.core.log.EntryDescription;
import org.baobabspindle.core.log.Group;
import org.baobabspindle.core.log.KeeperClaim;
import org.baobabspindle.core.log.KeeperClaimed;
import org.baobabspindle.core.log.KeeperRenewed;
import org.baobabspindle.core.log.Verdict;

/**
 * Plans which fabric domains an entry claims and what it does for those it keeps. The keeper of a domain is the entry
 * that holds the lease on it; it forms, repairs, drains and dissolves the groups of the domain. Safety rests on the
 * log: replay refuses records under an old epoch. Not thread-safe.
 */
public final class Keeper {
    private final Incarnation self;
    private final Region region;
    private final GroupTimings timings;
    private final LeaseTable leases;
    private final DomainKeeper domainKeeper;
    private final Map<FabricDomain, Instant> vacantSince = new HashMap<>();
    private final Set<FabricDomain> pendingAppends = new HashSet<>();
    private Optional<Instant> renewalSentAt = Optional.empty();
    private boolean renewalPending;

    /**
     * Creates the keeper of an entry.
     *
     * @param self the entry
     * @param region the region of the entry, which claims only domains of this region
     * @param timings the timeouts and intervals
     */
    public Keeper(Incarnation self, Region region, GroupTimings timings) {
        this.self = self;
        this.region = region;
        this.timings = timings;
        this.leases = new LeaseTable(self, timings);
        this.domainKeeper = new DomainKeeper(timings);
    }

    /**
     * Plans what to do now. The outcome of each append in the result must be reported to {@link #appendCompleted}.
     *
     * @param now the current time
     * @param view the current knowledge of this entry
     * @return the actions, in the order in which to start them
     */
    public List<KeeperAction> decide(Instant now, KeeperView view) {
        view.state().groupState().claims().forEach(c -> leases.observe(now, c));
        List<KeeperAction> actions = new ArrayList<>();
        if (view.mayAppend()) {
            renew(now, view).ifPresent(actions::add);
        }
        for (FabricDomain d : domainsOfRegion(view)) {
            Optional<KeeperClaim> claim = view.state().groupState().claim(d);
            if (claim.isPresent() && holdsLease(now, claim.get())) {
                actions.addAll(decideForDomain(now, view, claim.get()));
            } else if (view.mayAppend() && !pendingAppends.contains(d)) {
                claim(now, view, d, claim).ifPresent(actions::add);
            }
        }
        for (KeeperAction a : actions) {
            if (a instanceof KeeperAction.Append append && append.domain() != null) {
                pendingAppends.add(append.domain());
            }
        }
        return actions;
    }

    /**
     * Records the outcome of an append that {@link #decide} returned.
     *
     * @param append the append
     * @param verdict the verdict of replay; refused if the record can no longer take effect
     * @param offset the offset of the record; used only if it was accepted
     */
    public void appendCompleted(KeeperAction.Append append, Verdict verdict, LogOffset offset) {
        if (append.domain() == null) {
            renewalPending = false;
        } else {
            pendingAppends.remove(append.domain());
        }
        boolean isLeaseRecord = append.record() instanceof KeeperClaimed || append.record() instanceof KeeperRenewed;
        if (isLeaseRecord && verdict.isAccepted()) {
            leases.recordAccepted(append, offset);
        }
    }

    /**
     * Returns whether this entry may act as keeper of a domain.
     *
     * @param now the current time
     * @param claim the claim in force
     * @return whether this entry holds the claim and its lease has not expired
     */
    public boolean holdsLease(Instant now, KeeperClaim claim) {
        return leases.heldUntil(claim).map(until -> until.isAfter(now)).orElse(false);
    }

    /**
     * Assesses a group of a domain that this entry keeps.
     *
     * @param now the current time
     * @param view the current knowledge of this entry
     * @param group the group
     * @return the state of the group, or empty if this entry does not keep its domain
     */
    public Optional<GroupAssessment> assess(Instant now, KeeperView view, Group group) {
        Optional<KeeperClaim> claim = view.state().groupState().claim(group.domain());
        if (claim.isEmpty() || !holdsLease(now, claim.get())) {
            return Optional.empty();
        }
        return Optional.of(domainKeeper.assess(now, view, group, quietUntil(view, claim.get())));
    }

    private List<KeeperAction> decideForDomain(Instant now, KeeperView view, KeeperClaim claim) {
        vacantSince.remove(claim.domain());
        Instant quietUntil = quietUntil(view, claim);
        if (quietUntil.isAfter(now)) {
            return List.of();
        }
        Instant leaseEnd = leases.heldUntil(claim).orElse(now);
        boolean mayAppend = view.mayAppend() && !pendingAppends.contains(claim.domain());
        return domainKeeper.decide(now, view, new DomainKeeper.Tenure(claim, quietUntil, leaseEnd, mayAppend));
    }

    /**
     * Returns the end of the quiet period, during which this entry does nothing for a domain that it has claimed.
     * Engines that do not check fencing numbers still obey the orders of former keepers until these expire; if the
     * domain has such engines, the period lasts as long as an order.
     */
    private Instant quietUntil(KeeperView view, KeeperClaim claim) {
        Instant readAt = leases.claimReadAt(claim.domain());
        boolean allCheckFencing = view.instancesIn(claim.domain()).stream().allMatch(PlatformInstance::checksFencing);
        return allCheckFencing ? readAt : readAt.plus(timings.orderLifetime());
    }

    private Optional<KeeperAction> renew(Instant now, KeeperView view) {
        boolean isKeeper = view.state().groupState().claims().stream()
                .anyMatch(c -> c.holder().equals(self));
        boolean due = renewalSentAt
                .map(at -> !at.plus(timings.renewalInterval()).isAfter(now))
                .orElse(true);
        if (!isKeeper || !due || renewalPending) {
            return Optional.empty();
        }
        renewalPending = true;
        renewalSentAt = Optional.of(now);
        return Optional.of(new KeeperAction.Append(null, new KeeperRenewed(), now, "lease renewal is due"));
    }

    private Optional<KeeperAction> claim(
            Instant now, KeeperView view, FabricDomain domain, Optional<KeeperClaim> claim) {
        Optional<Instant> vacantFrom = claim.isEmpty() ? Optional.of(now) : leases.vacantSince(now, claim.get());
        if (vacantFrom.isEmpty()) {
            vacantSince.remove(domain);
            return Optional.empty();
        }
        Instant since = vacantSince.computeIfAbsent(domain, d -> vacantFrom.get());
        Duration wait = timings.claimStagger().multipliedBy(rank(view, domain));
        if (since.plus(wait).isAfter(now)) {
            return Optional.empty();
        }
        LogOffset previous = claim.map(KeeperClaim::epoch).orElse(LogOffset.of(0));
        String reason = claim.isEmpty()
                ? "domain was never claimed"
                : "lease of " + claim.get().holder() + " expired";
        return Optional.of(new KeeperAction.Append(domain, new KeeperClaimed(domain, previous), now, reason));
    }

    private int rank(KeeperView view, FabricDomain domain) {
        List<Incarnation> entries = view.state().membership().of(region).entries().stream()
                .map(EntryDescription::id)
                .toList();
        int rank = Rendezvous.rank(domain.value(), entries).indexOf(self);
        return rank < 0 ? entries.size() : rank;
    }

    private Set<FabricDomain> domainsOfRegion(KeeperView view) {
        Set<FabricDomain> domains = new TreeSet<>();
        view.instances().stream().filter(i -> i.region().equals(region)).forEach(i -> domains.add(i.domain()));
        view.state().groupState().claims().stream()
                .filter(c -> c.holder().equals(self))
                .forEach(c -> domains.add(c.domain()));
        return domains;
    }
}
