package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.ServerRegistration;
import org.baobabspindle.core.id.InstanceId;
import org.baobabspindle.core.time.Moment;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.port.FeedRecord;
import org.baobabspindle.port.FleetDecoder;
import org.junit.jupiter.api.Test;

/** Tests configuration versions that arrive late, twice or out of order, from the store and from other entries. */
class FleetTableTests {
    private final FleetTable table = new FleetTable(new NumberDecoder(), new EventLog());

    /** Decodes a text of digits as a version and rejects other texts. */
    private static final class NumberDecoder implements FleetDecoder {
        @Override
        public Optional<FleetConfiguration> configuration(FeedRecord record) {
            String text = new String(record.value().orElseThrow(), StandardCharsets.UTF_8);
            if (!text.matches("\\d+")) {
                return Optional.empty();
            }
            CallerLimits limits = new CallerLimits(1, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));
            return Optional.of(
                    new FleetConfiguration(Long.parseLong(text), List.of(), List.of(), Map.of(), true, limits));
        }

        @Override
        public Optional<ServerRegistration> server(FeedRecord record) {
            return Optional.empty();
        }
    }

    private static Moment at(long millis) {
        return new Moment(0, 0).plus(Duration.ofMillis(millis));
    }

    private void read(String text, long requestedAt) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        table.configurationRead(
                List.of(new FeedRecord("configuration", Optional.of(bytes))), false, at(requestedAt), at(requestedAt));
    }

    private void received(String text) {
        FeedRecord record = new FeedRecord("configuration", Optional.of(text.getBytes(StandardCharsets.UTF_8)));
        table.configurationFromPeer(InstanceId.of("other"), record, at(100));
    }

    @Test
    void ignoresOlderVersions() {
        read("7", 0);
        read("5", 10);
        received("6");
        assertThat(table.version()).isEqualTo(7);
        assertThat(table.configurationRecord().orElseThrow().value().orElseThrow())
                .isEqualTo(new byte[] {'7'});
    }

    @Test
    void installsNewerVersionFromAnotherEntry() {
        read("7", 0);
        received("9");
        assertThat(table.version()).isEqualTo(9);
    }

    /** A store that was restored from an older copy may have lost versions that no entry has read. */
    @Test
    void storeThatIsBehindDoesNotConfirm() {
        read("7", 0);
        read("5", 4_000);
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(5)));
        read("7", 4_500);
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofMillis(500)));
    }

    @Test
    void storeWithoutConfigurationDoesNotConfirm() {
        read("7", 0);
        table.configurationRead(List.of(), true, at(4_000), at(4_000));
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(5)));
    }

    @Test
    void readWithoutRecordsConfirms() {
        read("7", 0);
        table.configurationRead(List.of(), false, at(4_000), at(4_000));
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(1)));
    }

    /** A version that is replaced within a page is never in force; an invalid record leaves the one before it. */
    @Test
    void installsTheNewestValidVersionOfAPage() {
        List<FeedRecord> page = Stream.of("7", "8", "half of a rec")
                .map(t -> new FeedRecord("configuration", Optional.of(t.getBytes(StandardCharsets.UTF_8))))
                .toList();
        table.configurationRead(page, false, at(50), at(60));
        assertThat(table.version()).isEqualTo(8);
        assertThat(table.configurationAge(at(60))).isEqualTo(Optional.of(Duration.ofMillis(10)));
    }

    /** The entry would refuse all requests for good, as nobody has the version any more. */
    @Test
    void versionThatTheStoreHasLostIsNotAwaited() {
        read("7", 0);
        table.versionShown(9, at(100));
        assertThat(table.isBehindCallers()).isTrue();
        read("7", 100);
        assertThat(table.isBehindCallers()).isTrue();
        assertThat(table.minVersion()).isEqualTo(9);
        read("7", 200);
        assertThat(table.isBehindCallers()).isFalse();
        assertThat(table.minVersion()).isEqualTo(7);
    }

    @Test
    void lagCountsFromTheFirstNewerVersionThatIsStated() {
        List<Duration> lags = new ArrayList<>();
        table.setInstallationListener(lags::add);
        read("7", 0);
        table.newerVersionStated(8, at(40));
        table.newerVersionStated(9, at(70));
        assertThat(table.versionLag(at(90))).isEqualTo(Duration.ofMillis(50));
        received("9");
        assertThat(lags).containsExactly(Duration.ZERO, Duration.ofMillis(60)).inOrder();
        assertThat(table.versionLag(at(200))).isEqualTo(Duration.ZERO);
    }

    @Test
    void keepsConfigurationIfRecordIsMalformed() {
        read("7", 0);
        read("half of a rec", 10);
        assertThat(table.version()).isEqualTo(7);
    }

    @Test
    void acceptsConfirmationOfAnotherEntryOnlyForSameVersion() {
        read("7", 0);
        table.confirmedByPeer(5, at(4_000));
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(5)));
        table.confirmedByPeer(7, at(4_000));
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(1)));
        table.confirmedByPeer(7, at(2_000));
        assertThat(table.configurationAge(at(5_000))).isEqualTo(Optional.of(Duration.ofSeconds(1)));
    }
}
