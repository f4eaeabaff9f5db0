package org.baobabspindle.gateway;

/** The metrics of an entry that tell which version of the configuration it follows, and how late. */
final class VersionMetrics {
    private VersionMetrics() {}

    /** Registers the metrics, before the first version is installed. */
    static void register(FleetTable fleet, GatewayClock clock, GatewayMetrics metrics) {
        fleet.setInstallationListener(metrics::configurationInstalled);
        metrics.gauge("baobabspindle_gateway_configuration_version", "Version of the configuration.", fleet::version);
        metrics.gauge(
                "baobabspindle_gateway_configuration_age_seconds",
                "Time since the configuration was last known to be the newest one; -1 if it never was.",
                () -> fleet.configurationAge(clock.now())
                        .map(a -> a.toMillis() / 1e3)
                        .orElse(-1.0));
        metrics.gauge(
                "baobabspindle_gateway_configuration_lag_seconds",
                "Time since this entry learned of a newer version of the configuration that it does not have; 0 if none.",
                () -> fleet.versionLag(clock.now()).toMillis() / 1e3);
    }
}
