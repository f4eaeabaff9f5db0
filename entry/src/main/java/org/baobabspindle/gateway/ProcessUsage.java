package org.baobabspindle.gateway;

import com.sun.management.OperatingSystemMXBean;
import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** What this process uses, as measured by the operating system. */
final class ProcessUsage implements OwnHeadroom.Usage {
    private final java.lang.management.OperatingSystemMXBean system = ManagementFactory.getOperatingSystemMXBean();

    @Override
    public double cpuSeconds() {
        return system instanceof OperatingSystemMXBean s ? Math.max(0, s.getProcessCpuTime()) / 1e9 : 0;
    }

    @Override
    public double descriptors() {
        return system instanceof UnixOperatingSystemMXBean s ? Math.max(0, s.getOpenFileDescriptorCount()) : 0;
    }
}
