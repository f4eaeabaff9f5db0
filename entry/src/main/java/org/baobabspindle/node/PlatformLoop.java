package org.baobabspindle.node;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import org.baobabspindle.application.ServiceClient;
import org.baobabspindle.platform.InstanceListClient;
import org.baobabspindle.platform.ServiceInstance;
import org.baobabspindle.serving.EntryTables;

/** Reads the instance list and asks the plain services whether they are leaving. */
final class PlatformLoop {
    private static final Logger LOGGER = System.getLogger(PlatformLoop.class.getName());

    private final EntryTables tables;
    private final InstanceListClient list;
    private final ServiceClient services;
    private boolean silent;

    PlatformLoop(EntryTables tables, InstanceListClient list, ServiceClient services) {
        this.tables = tables;
        this.list = list;
        this.services = services;
    }

    /** Reads the instance list once. */
    synchronized void readList() {
        try {
            list.poll().ifPresent(l -> tables.groups().use(g -> g.instances(l)));
            silent = false;
        } catch (IOException e) {
            if (!silent) {
                LOGGER.log(Level.WARNING, "the instance list cannot be read: {0}", e.getMessage());
            }
            silent = true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks every plain service once. */
    void askServices() {
        List<ServiceInstance> all = tables.groups().with(g -> g.instances().services());
        for (ServiceInstance s : all) {
            services.status(s)
                    .thenAccept(
                            status -> tables.groups().use(g -> g.recordServiceStatus(status.id(), status.leaving())))
                    .exceptionally(e -> null);
        }
    }
}
