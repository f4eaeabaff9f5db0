package org.baobabspindle.gateway;

import java.util.Collection;
import net.openhft.hashing.LongHashFunction;
import org.baobabspindle.core.formation.WeightLoadLimiter;
import org.baobabspindle.core.id.InstanceId;

/**
 * Ranks the entries as candidates for keepers, so that not all entries of a large fleet renew a lease several times a
 * second. Entries are ordered by a hash of their id alone; the order of two entries does not depend on the others, so
 * the loss of a keeper changes only one place.
 */
final class KeeperRanks {
    private static final LongHashFunction HASH = LongHashFunction.xx3();

    private KeeperRanks() {}

    /** Returns the rank of an entry: the number of other entries that precede it. */
    static int rank(InstanceId self, Collection<InstanceId> others) {
        int preceding = 0;
        for (InstanceId other : others) {
            preceding += isBefore(other, self) ? 1 : 0;
        }
        return preceding;
    }

    /**
     * Returns the share of a keeper in the weight loads; one that is about to stop being a keeper counts as the last.
     */
    static WeightLoadLimiter.Share share(int rank, int entries) {
        int keepers = Math.min(entries, KeeperCandidacy.MAX_KEEPERS);
        return new WeightLoadLimiter.Share(Math.min(rank, keepers - 1), keepers);
    }

    private static boolean isBefore(InstanceId a, InstanceId b) {
        long x = HASH.hashChars(a.value());
        long y = HASH.hashChars(b.value());
        return x == y ? a.compareTo(b) < 0 : x < y;
    }
}
