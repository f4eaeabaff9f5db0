package org.baobabspindle.core.id;

/**
 * The fencing token of an order to a backend server. Orders are ordered by epoch, then by counter; a backend server
 * that checks fencing numbers refuses an order with a lower number than one it has accepted.
 *
 * @param epoch the offset of the keeper claim under which the order is given
 * @param counter the sequence number of the order under that claim; not negative
 */
public record FencingNumber(LogOffset epoch, long counter) implements Comparable<FencingNumber> {
    /** Validates the epoch and the counter. */
    public FencingNumber {
        Checks.require(epoch != null, "epoch must not be null");
        Checks.notNegative("fencing counter", counter);
    }

    @Override
    public int compareTo(FencingNumber other) {
        int byEpoch = epoch.compareTo(other.epoch);
        return byEpoch != 0 ? byEpoch : Long.compare(counter, other.counter);
    }
}
