package org.baobabspindle.node;

import java.util.concurrent.ThreadFactory;

/** Makes threads that do not keep the process alive. */
final class DaemonThreads {
    private DaemonThreads() {}

    static ThreadFactory named(String name) {
        return work -> {
            Thread t = new Thread(work, name);
            t.setDaemon(true);
            return t;
        };
    }
}
