package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.FeedRecord;
import org.junit.jupiter.api.Test;

/** Tests when an entry fetches the configuration of others. */
class ConfigurationUpdatesTests {
    private static final Moment NOW = new Moment(0, 0);
    private static final int ROUTES = 2;

    private final SimulatedConfigurations configurations = new SimulatedConfigurations();
    private final FleetTable fleet = new FleetTable(configurations, new EventLog());
    private boolean failToAsk;
    private final List<InstanceId> asked = new ArrayList<>();
    private final List<CompletableFuture<FeedRecord>> transfers = new ArrayList<>();
    private final ConfigurationUpdates updates = new ConfigurationUpdates(
            fleet,
            from -> {
                if (failToAsk) {
                    throw new IllegalStateException("no entry is announced at this address");
                }
                asked.add(from);
                transfers.add(new CompletableFuture<>());
                return transfers.get(transfers.size() - 1);
            },
            new StoreReplay.Time(),
            () -> {},
            new EventLog());

    private void stated(String by, long version) {
        updates.versionStated(InstanceId.of(by), version, NOW);
    }

    private FeedRecord version(int version) {
        while (configurations.versions().size() <= version) {
            configurations.write(0, ROUTES);
        }
        return configurations.versions().get(version).record();
    }

    @Test
    void fetchesOneVersionAtATime() {
        for (String by : List.of("a", "b", "c")) {
            stated(by, 3);
        }
        assertThat(asked).containsExactly(InstanceId.of("a"));
        transfers.get(0).complete(version(3));
        assertThat(fleet.version()).isEqualTo(3);
        assertThat(asked).hasSize(1);
    }

    @Test
    void fetchesTheNewestVersionThatWasStatedMeanwhile() {
        stated("a", 3);
        stated("b", 5);
        stated("c", 4);
        transfers.get(0).complete(version(3));
        assertThat(asked)
                .containsExactly(InstanceId.of("a"), InstanceId.of("b"))
                .inOrder();
        transfers.get(1).complete(version(5));
        assertThat(fleet.version()).isEqualTo(5);
    }

    @Test
    void failedTransferIsFollowedByTheNextOne() {
        stated("a", 3);
        stated("b", 3);
        transfers.get(0).completeExceptionally(new IOException("cut"));
        assertThat(asked)
                .containsExactly(InstanceId.of("a"), InstanceId.of("b"))
                .inOrder();
        transfers.get(1).completeExceptionally(new IOException("cut"));
        stated("c", 3);
        assertThat(asked).hasSize(3);
    }

    @Test
    void entryThatCannotBeAskedDoesNotEndFetching() {
        failToAsk = true;
        stated("a", 3);
        failToAsk = false;
        stated("b", 3);
        assertThat(asked).containsExactly(InstanceId.of("b"));
    }

    @Test
    void doesNotFetchWhatIsFollowedAlready() {
        fleet.configurationFromPeer(InstanceId.of("a"), version(3), NOW);
        stated("b", 3);
        stated("c", 2);
        assertThat(asked).isEmpty();
    }
}
