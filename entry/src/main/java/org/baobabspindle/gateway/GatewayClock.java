package org.baobabspindle.gateway;

import org.baobabspindle.core.time.Moment;

/** Reads the monotonic clock and the wall clock of the instance. */
class GatewayClock {
    Moment now() {
        return new Moment(System.nanoTime(), System.currentTimeMillis());
    }
}
