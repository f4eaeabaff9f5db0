package org.baobabspindle.platform;

import java.util.List;
import org.baobabspindle.core.group.PlatformInstance;

/**
 * The instances that the platform lists.
 *
 * @param engines the model engines
 * @param services the instances of plain services
 */
public record InstanceList(List<PlatformInstance> engines, List<ServiceInstance> services) {
    /** The list without instances. */
    public static final InstanceList EMPTY = new InstanceList(List.of(), List.of());

    /** Copies the lists. */
    public InstanceList {
        engines = List.copyOf(engines);
        services = List.copyOf(services);
    }
}
