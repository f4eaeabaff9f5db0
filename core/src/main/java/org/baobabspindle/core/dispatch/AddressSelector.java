package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.baobabspindle.core.id.AvailabilityZone;

/**
 * Selects the addresses of entries that callers get. Callers pick one of them at random, so an entry that can bear more
 * requests is in more of the lists. Without different capacities, all entries are equal.
 */
public final class AddressSelector {
    /** The ready entries in the caller's zone from which no others are listed; two, so that one may fail. */
    private static final int MIN_READY_IN_ZONE = 2;

    /**
     * The smallest headroom that counts. An entry that is busy for a moment keeps a part of its callers, as they would all
     * move to the others at once.
     */
    private static final double MIN_HEADROOM = 0.2;

    /** The headroom of a zone below which its callers also get entries of other zones, the more the less is left. */
    private static final double SPILL_HEADROOM = 0.2;

    private AddressSelector() {}

    /**
     * A ready entry.
     *
     * @param address its address for callers
     * @param zone its availability zone
     * @param capacity the load that it can bear; empty if it does not state any
     * @param headroom the part of its capacity that is free, from 0 to 1
     */
    public record Candidate(String address, AvailabilityZone zone, OptionalDouble capacity, double headroom) {
        /** Ignores statements that are not numbers in their range. */
        public Candidate {
            capacity = capacity.isPresent() && capacity.getAsDouble() > 0 && Double.isFinite(capacity.getAsDouble())
                    ? capacity
                    : OptionalDouble.empty();
            headroom = headroom >= 0 && headroom <= 1 ? headroom : 1;
        }
    }

    /**
     * Selects addresses.
     *
     * @param ready the ready entries
     * @param zone the availability zone of the caller, whose entries are preferred; empty if it is unknown
     * @param maxAddresses the maximum number of addresses
     * @param random selects and orders the entries
     * @return the addresses in random order
     */
    public static List<String> select(
            List<Candidate> ready, Optional<AvailabilityZone> zone, int maxAddresses, Random random) {
        List<Candidate> inZone = ready.stream()
                .filter(c -> zone.filter(c.zone()::equals).isPresent())
                .toList();
        boolean zoneSuffices = inZone.size() >= MIN_READY_IN_ZONE;
        List<Candidate> chosen = new ArrayList<>(zoneSuffices ? inZone : ready);
        Set<Double> capacities = ready.stream()
                .filter(c -> c.capacity().isPresent())
                .map(c -> c.capacity().getAsDouble())
                .collect(Collectors.toSet());
        if (capacities.size() > 1) {
            double mean = capacities.stream()
                    .mapToDouble(Double::doubleValue)
                    .average()
                    .orElse(1);
            double spill = zoneSuffices ? spill(inZone, mean) : 1;
            Map<Candidate, Double> weights = new HashMap<>();
            for (Candidate c : ready) {
                double share = zoneSuffices && !inZone.contains(c) ? spill : 1;
                weights.put(c, share * c.capacity().orElse(mean) * Math.max(MIN_HEADROOM, c.headroom()));
            }
            chosen = draw(weights, random);
        }
        Collections.shuffle(chosen, random);
        return chosen.stream().limit(maxAddresses).map(Candidate::address).toList();
    }

    /** Returns the share of their weight that entries of other zones get; 0 while the zone can serve its callers. */
    private static double spill(List<Candidate> inZone, double meanCapacity) {
        double capacity = 0;
        double free = 0;
        for (Candidate c : inZone) {
            capacity += c.capacity().orElse(meanCapacity);
            free += c.capacity().orElse(meanCapacity) * c.headroom();
        }
        return Math.max(0, 1 - free / capacity / SPILL_HEADROOM);
    }

    /** Returns each entry with a probability in proportion to its weight; at least two, so that one may fail. */
    private static List<Candidate> draw(Map<Candidate, Double> weights, Random random) {
        double highest = Collections.max(weights.values());
        List<Candidate> drawn = new ArrayList<>();
        List<Candidate> others = new ArrayList<>();
        weights.forEach((c, w) -> {
            if (random.nextDouble() * highest < w) {
                drawn.add(c);
            } else if (w > 0) {
                others.add(c);
            }
        });
        others.sort(Comparator.comparingDouble(weights::get));
        while (drawn.size() < MIN_READY_IN_ZONE && !others.isEmpty()) {
            drawn.add(others.remove(others.size() - 1));
        }
        return drawn;
    }
}
