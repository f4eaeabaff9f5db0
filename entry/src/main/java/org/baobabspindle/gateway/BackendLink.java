package org.baobabspindle.gateway;

import java.time.Duration;
import org.baobabspindle.core.fleet.BackendServer;

/** Tells whether this entry reaches backend servers. */
interface BackendLink {
    /** Returns whether this entry is partitioned from all backend servers. */
    boolean isPartitioned();

    /** Returns whether servers other than one have recently failed as well, with no sign of reachability since. */
    boolean othersFail(BackendServer server);

    /** Returns whether any backend server was heard from within an observed time; pauses of this process do not count. */
    boolean heardWithin(Duration observed);
}
