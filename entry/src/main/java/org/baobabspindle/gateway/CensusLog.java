package org.baobabspindle.gateway;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.formation.FleetCensus;
import org.baobabspindle.logging.EventLog;

/** Logs a census of the engines of each service: how many serve, join, are idle or stranded, and the demand. */
final class CensusLog {
    private CensusLog() {}

    static void write(
            EventLog log,
            FleetConfiguration configuration,
            Collection<BackendServer> servers,
            Map<String, Double> demand) {
        for (FleetService s : configuration.services()) {
            s.engine().ifPresent(profile -> write(log, s.name(), profile, servers, demand));
        }
    }

    private static void write(
            EventLog log,
            String service,
            EngineProfile profile,
            Collection<BackendServer> servers,
            Map<String, Double> demand) {
        List<BackendServer> own =
                servers.stream().filter(x -> x.service().equals(service)).toList();
        FleetCensus census = FleetCensus.of(profile, own);
        log.write(
                "census",
                "periodic",
                "service",
                service,
                "engines",
                census.engines(),
                "serving",
                census.serving(),
                "joining",
                census.joining(),
                "stranded",
                census.stranded(),
                "idle",
                census.idle(),
                "demand",
                demand);
    }
}
