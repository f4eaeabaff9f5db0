package org.baobabspindle.node;

import java.util.concurrent.ThreadFactory;

/** Creates factories of daemon threads, which do not keep the process alive. */
final class DaemonThreads {
    private DaemonThreads() {}

    static ThreadFactory factory(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
