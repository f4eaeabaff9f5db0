package org.baobabspindle.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.id.Checks;
import org.baobabspindle.core.id.InstanceId;

/**
 * Chooses the entry to which a request is relayed: the one with the fewest relayed requests, where an entry of another
 * availability zone is chosen only if those of the own zone have several more.
 */
public final class RelayPeerChooser {
    /** How many more relayed requests an entry of the own zone may have than one of another zone. */
    private static final int OWN_ZONE_PREFERENCE = 4;

    private RelayPeerChooser() {}

    /**
     * An entry that can take a relayed request.
     *
     * @param entry the entry
     * @param ownZone whether it is in the availability zone of the entry that relays the request
     * @param outstanding the number of requests that are being relayed to it, at least 0
     */
    public record Candidate(InstanceId entry, boolean ownZone, int outstanding) {
        /** Validates the components. */
        public Candidate {
            Checks.require(entry != null, "entry must not be null");
            Checks.require(outstanding >= 0, "outstanding must not be negative but was " + outstanding);
        }

        private int cost() {
            return ownZone ? outstanding : outstanding + OWN_ZONE_PREFERENCE;
        }
    }

    /**
     * Chooses an entry.
     *
     * @param candidates the entries that can take the request
     * @param random chooses among equals
     * @return the entry; empty if there is no candidate
     */
    public static Optional<InstanceId> choose(List<Candidate> candidates, RandomGenerator random) {
        List<Candidate> shuffled = new ArrayList<>(candidates);
        for (int i = shuffled.size() - 1; i > 0; i--) {
            Collections.swap(shuffled, i, random.nextInt(i + 1));
        }
        return shuffled.stream().min(Comparator.comparingInt(Candidate::cost)).map(Candidate::entry);
    }
}
