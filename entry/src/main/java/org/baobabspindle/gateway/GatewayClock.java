package org.baobabspindle.gateway;

import org.baobabspindle.core.time.Moment;

/** Reads both clocks of the instance. */
final class GatewayClock {
    Moment now() {
        return new Moment(System.nanoTime(), System.currentTimeMillis());
    }
}
