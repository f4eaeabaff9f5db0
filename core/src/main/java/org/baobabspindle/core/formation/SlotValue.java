package org.baobabspindle.core.formation;

/**
 * The utility of the slots of a model for a demand. It is concave, so that plans favor the model with the lowest
 * coverage and slots beyond the demand are worth little: the marginal value of a slot is 1 at the demand, 8 at half of
 * the demand and 1/32 at twice the demand.
 */
final class SlotValue {
    /** The coverage of the demand below which the marginal value is constant, which keeps the value finite. */
    private static final double MIN_COVERAGE = 0.25;

    private SlotValue() {}

    /**
     * Returns the value of slots.
     *
     * @param slots the slots, possibly fractional
     * @param demand the demand in slots, positive
     * @return the value, in units of a slot at full coverage
     */
    static double of(double slots, double demand) {
        double coverage = slots / demand;
        if (coverage < MIN_COVERAGE) {
            double slope = 1 / (MIN_COVERAGE * MIN_COVERAGE * MIN_COVERAGE);
            return demand * (slopeIntegral(MIN_COVERAGE) - slope * (MIN_COVERAGE - coverage));
        }
        return demand * slopeIntegral(coverage);
    }

    /** Returns the integral of the marginal value: coverage to the power of -3 up to the demand and of -5 beyond. */
    private static double slopeIntegral(double coverage) {
        double square = coverage * coverage;
        return coverage < 1 ? (1 - 1 / square) / 2 : (1 - 1 / (square * square)) / 4;
    }
}
