package org.baobabspindle.core.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.Region;

/**
 * The entries that are members of each region. Entries join or leave one at a time, and only after a majority of the
 * region's members has replayed the previous change. Thus majorities of consecutive versions always intersect.
 */
public final class Membership {
    private final TreeMap<Region, RegionMembers> regions = new TreeMap<>();

    Membership() {}

    /**
     * The entries of one region.
     *
     * @param version the number of entries that have joined or been removed so far
     * @param entries the member entries
     */
    public record RegionMembers(long version, List<EntryDescription> entries) {
        /** The members of a region that no entry has joined. */
        public static final RegionMembers NONE = new RegionMembers(0, List.of());

        /** Copies the entries. */
        public RegionMembers {
            entries = List.copyOf(entries);
        }

        /**
         * Returns whether the given entries include a majority of the region's members.
         *
         * @param ids the entries to count; entries that are not members are ignored
         * @return whether they include more than half of the members; true if the region has no members
         */
        public boolean isMajority(Collection<Incarnation> ids) {
            long count = entries.stream().filter(e -> ids.contains(e.id())).count();
            return entries.isEmpty() || count * 2 > entries.size();
        }

        private boolean contains(Incarnation id) {
            return entries.stream().anyMatch(e -> e.id().equals(id));
        }
    }

    /**
     * Returns the entries of a region.
     *
     * @param region the region
     * @return the members of the region and their version
     */
    public RegionMembers of(Region region) {
        return regions.getOrDefault(region, RegionMembers.NONE);
    }

    /**
     * Returns the regions that have or had members.
     *
     * @return the regions in order
     */
    public List<Region> regions() {
        return List.copyOf(regions.keySet());
    }

    /**
     * Returns the entries of all regions.
     *
     * @return the entries in the order of their regions
     */
    public List<EntryDescription> entries() {
        List<EntryDescription> all = new ArrayList<>();
        regions.values().forEach(r -> all.addAll(r.entries()));
        return all;
    }

    /**
     * Finds an entry by its incarnation.
     *
     * @param id the incarnation
     * @return the entry, or empty if it is not a member
     */
    public Optional<EntryDescription> find(Incarnation id) {
        return entries().stream().filter(e -> e.id().equals(id)).findFirst();
    }

    Verdict join(EntryDescription entry, long base, Set<Incarnation> evidence) {
        RegionMembers current = of(entry.region());
        if (current.entries().stream()
                .anyMatch(e -> e.id().instance().equals(entry.id().instance()))) {
            return Verdict.refused("instance " + entry.id().instance() + " is already counted");
        }
        Optional<Verdict> refusal = checkChange(current, base, evidence);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        List<EntryDescription> updated = new ArrayList<>(current.entries());
        updated.add(entry);
        regions.put(entry.region(), new RegionMembers(current.version() + 1, updated));
        return Verdict.ACCEPTED;
    }

    Verdict remove(EntryRemoved removal) {
        RegionMembers current = of(removal.region());
        if (!current.contains(removal.entry())) {
            return Verdict.refused("entry " + removal.entry() + " is not counted");
        }
        Set<Incarnation> evidence = removal.evidence();
        Optional<Verdict> refusal =
                removal.forced() ? Optional.empty() : checkChange(current, removal.base(), evidence);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        List<EntryDescription> updated = new ArrayList<>(current.entries());
        updated.removeIf(e -> e.id().equals(removal.entry()));
        regions.put(removal.region(), new RegionMembers(current.version() + 1, updated));
        return Verdict.ACCEPTED;
    }

    Verdict markLeaving(Incarnation id) {
        Optional<EntryDescription> entry = find(id);
        if (entry.isEmpty()) {
            return Verdict.refused("entry " + id + " is not counted");
        }
        RegionMembers current = of(entry.get().region());
        List<EntryDescription> updated = new ArrayList<>(current.entries());
        updated.replaceAll(e -> e.id().equals(id) ? e.asLeaving() : e);
        regions.put(entry.get().region(), new RegionMembers(current.version(), updated));
        return Verdict.ACCEPTED;
    }

    private static Optional<Verdict> checkChange(RegionMembers current, long base, Set<Incarnation> evidence) {
        if (base != current.version()) {
            return Optional.of(Verdict.refused("membership version is " + current.version() + ", not " + base));
        }
        if (!current.isMajority(evidence)) {
            return Optional.of(Verdict.refused("no majority has replayed membership version " + base));
        }
        return Optional.empty();
    }

    void restore(Region region, RegionMembers members) {
        regions.put(region, members);
    }
}
