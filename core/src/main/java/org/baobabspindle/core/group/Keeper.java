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
 * Decides for one entry which fabric domains it claims and what it does for those it keeps. Safety rests on the log:
 * records under an old epoch are refused by replay. Not safe for use by several threads.
 */
public final class Keeper {
    private final Incarnation self;
    private final Region region;
    private final GroupTimings timings;
    private final LeaseTable leases;
    private final DomainKeeper domains;
    private final Map<FabricDomain, Instant> vacantSince = new HashMap<>();
    private final Set<FabricDomain> appending = new HashSet<>();
    private Optional<Instant> renewalSentAt = Optional.empty();
    private boolean renewing;

    /**
     * Creates the keeper of an entry.
     *
     * @param self the entry
     * @param region its region; it claims domains of this region only
     * @param timings the times it goes by
     */
    public Keeper(Incarnation self, Region region, GroupTimings timings) {
        this.self = self;
        this.region = region;
        this.timings = timings;
        this.leases = new LeaseTable(self, timings);
        this.domains = new DomainKeeper(timings);
    }

    /**
     * Decides what to do now. Each append in the answer must be settled by a call of {@link #appendCompleted}.
     *
     * @param now the present time
     * @param view what is known
     * @return the actions in the order in which they should be started
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
                actions.addAll(keep(now, view, claim.get()));
            } else if (view.mayAppend() && !appending.contains(d)) {
                claim(now, view, d, claim).ifPresent(actions::add);
            }
        }
        for (KeeperAction a : actions) {
            if (a instanceof KeeperAction.Append append && append.domain() != null) {
                appending.add(append.domain());
            }
        }
        return actions;
    }

    /**
     * Notes how an append that this keeper decided on has ended.
     *
     * @param append the append
     * @param verdict the verdict of replay; refused if the record can no longer take effect
     * @param offset the offset of the record when it was accepted
     */
    public void appendCompleted(KeeperAction.Append append, Verdict verdict, LogOffset offset) {
        if (append.domain() == null) {
            renewing = false;
        } else {
            appending.remove(append.domain());
        }
        boolean lease = append.record() instanceof KeeperClaimed || append.record() instanceof KeeperRenewed;
        if (lease && verdict.isAccepted()) {
            leases.accepted(append, offset);
        }
    }

    /**
     * Tells whether this entry may act for a domain.
     *
     * @param now the present time
     * @param claim the claim in force
     * @return whether this entry holds the claim and its lease has not lapsed
     */
    public boolean holdsLease(Instant now, KeeperClaim claim) {
        return leases.heldUntil(claim).map(until -> until.isAfter(now)).orElse(false);
    }

    /**
     * Judges a group of a domain that this entry keeps.
     *
     * @param now the present time
     * @param view what is known
     * @param group the group
     * @return the state of the group, or empty if this entry does not keep its domain
     */
    public Optional<GroupAssessment> assess(Instant now, KeeperView view, Group group) {
        Optional<KeeperClaim> claim = view.state().groupState().claim(group.domain());
        if (claim.isEmpty() || !holdsLease(now, claim.get())) {
            return Optional.empty();
        }
        return Optional.of(domains.assess(now, view, group, quietUntil(view, claim.get())));
    }

    private List<KeeperAction> keep(Instant now, KeeperView view, KeeperClaim claim) {
        vacantSince.remove(claim.domain());
        Instant quietUntil = quietUntil(view, claim);
        if (quietUntil.isAfter(now)) {
            return List.of();
        }
        Instant leaseEnd = leases.heldUntil(claim).orElse(now);
        boolean mayAppend = view.mayAppend() && !appending.contains(claim.domain());
        return domains.decide(now, view, new DomainKeeper.Tenure(claim, quietUntil, leaseEnd, mayAppend));
    }

    /** Returns when orders of former keepers to engines that do not check fencing numbers have lapsed. */
    private Instant quietUntil(KeeperView view, KeeperClaim claim) {
        Instant readAt = leases.claimReadAt(claim.domain());
        boolean allCheck = view.instancesIn(claim.domain()).stream().allMatch(PlatformInstance::checksFencing);
        return allCheck ? readAt : readAt.plus(timings.orderLifetime());
    }

    private Optional<KeeperAction> renew(Instant now, KeeperView view) {
        boolean keeps = view.state().groupState().claims().stream()
                .anyMatch(c -> c.holder().equals(self));
        boolean due = renewalSentAt
                .map(at -> !at.plus(timings.renewalInterval()).isAfter(now))
                .orElse(true);
        if (!keeps || !due || renewing) {
            return Optional.empty();
        }
        renewing = true;
        renewalSentAt = Optional.of(now);
        return Optional.of(new KeeperAction.Append(null, new KeeperRenewed(), now, "lease renewal is due"));
    }

    private Optional<KeeperAction> claim(
            Instant now, KeeperView view, FabricDomain domain, Optional<KeeperClaim> claim) {
        Optional<Instant> free = claim.isEmpty() ? Optional.of(now) : leases.vacantSince(now, claim.get());
        if (free.isEmpty()) {
            vacantSince.remove(domain);
            return Optional.empty();
        }
        Instant since = vacantSince.computeIfAbsent(domain, d -> free.get());
        Duration wait = timings.claimStagger().multipliedBy(rank(view, domain));
        if (since.plus(wait).isAfter(now)) {
            return Optional.empty();
        }
        LogOffset previous = claim.map(KeeperClaim::epoch).orElse(LogOffset.of(0));
        String reason = claim.isEmpty()
                ? "domain was never kept"
                : "lease of " + claim.get().holder() + " lapsed";
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
        Set<FabricDomain> all = new TreeSet<>();
        view.instances().stream().filter(i -> i.region().equals(region)).forEach(i -> all.add(i.domain()));
        view.state().groupState().claims().stream()
                .filter(c -> c.holder().equals(self))
                .forEach(c -> all.add(c.domain()));
        return all;
    }
}
