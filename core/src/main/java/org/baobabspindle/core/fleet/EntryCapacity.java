package org.baobabspindle.core.fleet;

import org.baobabspindle.core.id.Checks;

/**
 * The resources of an entry.
 *
 * @param cores the processor cores that it may use, also fractions
 * @param memoryMegabytes its memory; infinite if it is not limited
 * @param descriptors the file descriptors that it may open; infinite if they are not limited
 */
public record EntryCapacity(double cores, double memoryMegabytes, double descriptors) {
    /** The memory of an entry of one core: its heap of 128 MB, and as much for threads, buffers and code. */
    private static final double MEGABYTES_PER_CORE = 256;

    /** Three descriptors for each request in progress, of which a core serves a few hundred at once. */
    private static final double DESCRIPTORS_PER_CORE = 1_500;

    /** Validates the components. */
    public EntryCapacity {
        Checks.require(cores > 0, "cores must be positive but were " + cores);
        Checks.require(memoryMegabytes > 0, "memory must be positive but was " + memoryMegabytes);
        Checks.require(descriptors > 0, "descriptors must be positive but were " + descriptors);
    }

    /**
     * Returns the load that the scarcest resource can bear, in cores.
     *
     * @return the weight of the entry among others; positive
     */
    public double weight() {
        return Math.min(cores, Math.min(memoryMegabytes / MEGABYTES_PER_CORE, descriptors / DESCRIPTORS_PER_CORE));
    }
}
