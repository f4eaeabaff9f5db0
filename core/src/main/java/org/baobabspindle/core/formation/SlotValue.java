package org.baobabspindle.core.formation;

/**
 * What slots of a model are worth against its demand. Concave, so that the model that is short comes first and no slot
 * beyond the demand is worth much: a further slot at the demand counts 1, at half of it 8, at twice of it a thirty-second.
 */
final class SlotValue {
    /** The covered share of the demand below which each slot counts the same; keeps the value finite. */
    private static final double LEAST_COVERAGE = 0.25;

    private SlotValue() {}

    /**
     * Returns the value of slots.
     *
     * @param slots the slots, also part of one
     * @param demand the slots wanted, positive
     * @return the value, in slots at the demand
     */
    static double of(double slots, double demand) {
        double coverage = slots / demand;
        if (coverage < LEAST_COVERAGE) {
            double slope = 1 / (LEAST_COVERAGE * LEAST_COVERAGE * LEAST_COVERAGE);
            return demand * (smooth(LEAST_COVERAGE) - slope * (LEAST_COVERAGE - coverage));
        }
        return demand * smooth(coverage);
    }

    /** The integral of the slope: the inverse cube of the coverage up to the demand, its inverse fifth power beyond. */
    private static double smooth(double coverage) {
        double square = coverage * coverage;
        return coverage < 1 ? (1 - 1 / square) / 2 : (1 - 1 / (square * square)) / 4;
    }
}
