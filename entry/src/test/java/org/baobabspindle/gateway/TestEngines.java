package org.baobabspindle.gateway;

import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.FabricDomain;
import org.baobabspindle.core.id.InstanceId;

/** Creates engines of one fabric domain for tests of the keeper. */
final class TestEngines {
    private TestEngines() {}

    static BackendServer engine(
            String id, Optional<String> model, Optional<String> staged, Optional<GroupMembership> group) {
        return new BackendServer(
                InstanceId.of(id),
                "pool",
                "127.0.0.1",
                8080,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                12,
                1,
                Optional.of(FabricDomain.of("d1")),
                model,
                staged,
                group);
    }
}
