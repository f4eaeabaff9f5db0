package org.baobabspindle.core.fuzz;

/** A fault that the simulation injects, or the recovery from one. */
enum Fault {
    NONE,
    PAUSE_ENTRY,
    RESUME_ENTRY,
    RESTART_ENTRY,
    DISCONNECT_ENTRY_FROM_LOG,
    RECONNECT_ENTRY_TO_LOG,
    PARTITION_PEERS,
    LOG_DOWN,
    LOG_UP,
    KILL_ENGINE,
    RESTART_ENGINE,
    FAIL_DOMAIN,
    REFRESH_INSTANCE_LIST,
    DELAY_MESSAGES,
    PATCH_CONFIGURATION
}
