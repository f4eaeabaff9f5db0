package org.baobabspindle.core.dispatch;

/** Whether an entry reaches the backend servers. */
public enum Reachability {
    /** At least some backend servers can be reached; a failure is one of the server concerned. */
    REACHABLE,
    /** No backend server can be reached, so that failures show nothing about the servers. */
    PARTITIONED
}
