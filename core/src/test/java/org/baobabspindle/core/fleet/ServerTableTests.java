package org.baobabspindle.core.fleet;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.Set;
import org.baobabspindle.core.formation.Engines;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.junit.jupiter.api.Test;

class ServerTableTests {
    private static final InstanceId ID = InstanceId.of("e0");

    private final ServerTable table = new ServerTable();

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    @Test
    void appliesARemovalAtOnceWithoutAnOutage() {
        table.put(Engines.free("e0", "d1"));
        table.remove(ID, at(0));
        assertThat(table.all()).isEmpty();
    }

    @Test
    void cancelsARemovalIfTheServerRegistersAgainAfterAnOutage() {
        table.put(Engines.free("e0", "d1"));
        table.storeRecovered(at(0));
        table.retain(Set.of(), at(100));
        assertThat(table.all()).hasSize(1);
        table.put(Engines.free("e0", "d1"));
        table.applyDueRemovals(at(5_000));
        assertThat(table.all()).hasSize(1);
    }

    @Test
    void removesAServerThatDoesNotRegisterAgainWithinTheGracePeriod() {
        table.put(Engines.free("e0", "d1"));
        table.storeRecovered(at(0));
        table.remove(ID, at(100));
        assertThat(table.applyDueRemovals(at(2_600))).isTrue();
        assertThat(table.all()).isEmpty();
    }

    @Test
    void keepsTheLastModelOfAnEngineForItsLifetime() {
        GroupKey key = new GroupKey("g1", 1);
        BackendServer free = Engines.free("e0", "d1");
        table.put(Engines.member(free, key, 0, Engines.SMALL, MemberState.READY));
        table.put(free);
        assertThat(table.all().iterator().next().model()).hasValue("small");
    }
}
