package org.baobabspindle.core.log;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import org.baobabspindle.core.configuration.Configuration;
import org.baobabspindle.core.configuration.ModelSetting;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.id.ModelVersion;

/** The claims on fabric domains and the groups, as computed by replay. */
public final class GroupState {
    private final TreeMap<FabricDomain, KeeperClaim> claims = new TreeMap<>();
    private final TreeMap<GroupId, Group> groups = new TreeMap<>();
    private final TreeMap<InstanceId, GroupId> groupOf = new TreeMap<>();

    GroupState() {}

    /**
     * Returns the claim in force on a domain.
     *
     * @param domain the fabric domain
     * @return the claim, or empty if the domain was never claimed
     */
    public Optional<KeeperClaim> claim(FabricDomain domain) {
        return Optional.ofNullable(claims.get(domain));
    }

    /**
     * Returns all claims in force.
     *
     * @return the claims in the order of their domains
     */
    public Collection<KeeperClaim> claims() {
        return List.copyOf(claims.values());
    }

    /**
     * Returns all groups that are formed and not dissolved.
     *
     * @return the groups in the order in which they were formed
     */
    public Collection<Group> groups() {
        return List.copyOf(groups.values());
    }

    /**
     * Finds a group.
     *
     * @param id the group
     * @return the group, or empty if it was dissolved or never formed
     */
    public Optional<Group> group(GroupId id) {
        return Optional.ofNullable(groups.get(id));
    }

    /**
     * Finds the group of an instance.
     *
     * @param instance the instance
     * @return its group, or empty if it is free
     */
    public Optional<GroupId> groupOf(InstanceId instance) {
        return Optional.ofNullable(groupOf.get(instance));
    }

    /**
     * Counts the groups that hold a model.
     *
     * @param model the model
     * @return the number of groups
     */
    public long count(ModelVersion model) {
        return groups.values().stream().filter(g -> g.model().equals(model)).count();
    }

    Verdict claim(FabricDomain domain, LogOffset previousEpoch, RecordPosition position) {
        LogOffset epoch = epochOf(domain);
        if (!epoch.equals(previousEpoch)) {
            return Verdict.refused("the epoch of " + domain + " is " + epoch + ", not " + previousEpoch);
        }
        claims.put(domain, new KeeperClaim(domain, position.writer(), position.offset(), position.offset()));
        return Verdict.ACCEPTED;
    }

    Verdict renew(RecordPosition position) {
        claims.replaceAll((domain, claim) -> claim.holder().equals(position.writer())
                ? new KeeperClaim(domain, claim.holder(), claim.epoch(), position.offset())
                : claim);
        return Verdict.ACCEPTED;
    }

    Verdict release(Incarnation holder) {
        claims.values().removeIf(claim -> claim.holder().equals(holder));
        return Verdict.ACCEPTED;
    }

    Verdict form(GroupFormed formed, RecordPosition position, Configuration configuration) {
        Optional<Verdict> refusal = checkEpoch(formed.domain(), formed.epoch(), position);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        ModelSetting setting = configuration.models().get(formed.model().toString());
        if (setting == null || count(formed.model()) >= setting.groups()) {
            return Verdict.refused("no further group of " + formed.model() + " is wanted");
        }
        if (formed.members().size() != setting.instancesPerGroup()) {
            return Verdict.refused("a group of " + formed.model() + " takes " + setting.instancesPerGroup());
        }
        TreeSet<InstanceId> members = new TreeSet<>();
        for (Incarnation member : formed.members()) {
            if (groupOf.containsKey(member.instance()) || !members.add(member.instance())) {
                return Verdict.refused("instance " + member.instance() + " is not free");
            }
        }
        restore(new Group(GroupId.of(position.offset().value()), formed.domain(), formed.model(), formed.members()));
        return Verdict.ACCEPTED;
    }

    Verdict dissolve(GroupId id, LogOffset epoch, RecordPosition position) {
        Group group = groups.get(id);
        if (group == null) {
            return Verdict.refused("group " + id + " does not exist");
        }
        Optional<Verdict> refusal = checkEpoch(group.domain(), epoch, position);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        groups.remove(id);
        group.members().forEach(member -> groupOf.remove(member.instance()));
        return Verdict.ACCEPTED;
    }

    private Optional<Verdict> checkEpoch(FabricDomain domain, LogOffset epoch, RecordPosition position) {
        KeeperClaim claim = claims.get(domain);
        if (claim == null || !claim.epoch().equals(epoch)) {
            return Optional.of(Verdict.refused("the epoch of " + domain + " is " + epochOf(domain) + ", not " + epoch));
        }
        if (!claim.holder().equals(position.writer())) {
            return Optional.of(Verdict.refused(domain + " is kept by " + claim.holder()));
        }
        return Optional.empty();
    }

    private LogOffset epochOf(FabricDomain domain) {
        KeeperClaim claim = claims.get(domain);
        return claim == null ? LogOffset.of(0) : claim.epoch();
    }

    void restore(Group group) {
        groups.put(group.id(), group);
        group.members().forEach(member -> groupOf.put(member.instance(), group.id()));
    }

    void restore(KeeperClaim claim) {
        claims.put(claim.domain(), claim);
    }
}
