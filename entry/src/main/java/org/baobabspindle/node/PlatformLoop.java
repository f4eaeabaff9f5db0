package org.baobabspindle.node;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.baobabspindle.application.ServiceClient;
import org.baobabspindle.platform.InstanceListClient;
import org.baobabspindle.platform.ServiceInstance;
import org.baobabspindle.serving.EntryTables;

/** Polls the instance list, and polls the plain services for whether they are leaving. */
final class PlatformLoop {
    private static final Logger LOGGER = System.getLogger(PlatformLoop.class.getName());

    private final EntryTables tables;
    private final InstanceListClient list;
    private final ServiceClient services;
    private boolean listUnreadable;

    PlatformLoop(EntryTables tables, InstanceListClient list, ServiceClient services) {
        this.tables = tables;
        this.list = list;
        this.services = services;
    }

    /** Reads the instance list once. */
    synchronized void readInstanceList() {
        try {
            list.poll().ifPresent(l -> tables.groups().use(g -> g.instances(l)));
            listUnreadable = false;
        } catch (IOException e) {
            if (!listUnreadable) {
                LOGGER.log(Level.WARNING, "the instance list cannot be read: {0}", e.getMessage());
            }
            listUnreadable = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Requests the status of every plain service once. */
    void pollServiceStatus() {
        List<ServiceInstance> instances =
                tables.groups().with(g -> g.instances().services());
        for (ServiceInstance s : instances) {
            services.status(s)
                    .thenAccept(
                            status -> tables.groups().use(g -> g.recordServiceStatus(status.id(), status.leaving())))
                    .exceptionally(e -> null);
        }
    }
}
