package org.baobabspindle.core.id;

/**
 * The number that orders the orders given to a backend server: a backend server that checks it refuses lower ones.
 *
 * @param epoch the offset of the keeper claim under which the order is given
 * @param counter the number of the order under that claim
 */
public record FencingNumber(LogOffset epoch, long counter) implements Comparable<FencingNumber> {
    /** Checks the parts. */
    public FencingNumber {
        Checks.require(epoch != null, "epoch must be given");
        Checks.notNegative("fencing counter", counter);
    }

    @Override
    public int compareTo(FencingNumber other) {
        int byEpoch = epoch.compareTo(other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(counter, other.counter);
    }
}
