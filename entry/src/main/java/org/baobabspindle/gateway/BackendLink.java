package org.baobabspindle.gateway;

import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.time.Moment;

/** Tells whether this entry reaches backend servers. */
interface BackendLink {
    /** Returns whether this entry is partitioned from all backend servers. */
    boolean isPartitioned();

    /** Returns whether servers other than one have recently failed as well, with no sign of reachability since. */
    boolean othersFail(BackendServer server);

    /** Returns whether any backend server was heard from after a time. */
    boolean heardSince(Moment since);
}
