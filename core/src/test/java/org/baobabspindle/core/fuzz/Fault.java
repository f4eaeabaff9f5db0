package org.baobabspindle.core.fuzz;

/** What can go wrong in the world, or right itself again. */
enum Fault {
    NONE,
    PAUSE_ENTRY,
    RESUME_ENTRY,
    RESTART_ENTRY,
    CUT_ENTRY_FROM_LOG,
    JOIN_ENTRY_TO_LOG,
    CUT_PEERS,
    LOG_DOWN,
    LOG_UP,
    KILL_ENGINE,
    RESTART_ENGINE,
    DARK_DOMAIN,
    RELIST,
    SLOW,
    PATCH
}
