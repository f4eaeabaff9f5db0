package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.logging.EventLog;
import org.baobabspindle.peer.EarlierEntry;
import org.baobabspindle.peer.EarlierRelease;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.peer.PeerProtocol;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerTraffic;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPosition;
import org.baobabspindle.port.FeedRecord;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests an entry beside one of an earlier release, as in an upgrade. */
@Timeout(30)
class MixedReleaseTests {
    private static final AvailabilityZone ZONE = AvailabilityZone.of("z1");
    private static final PeerMessage.RateLimitNotice LIMIT = new PeerMessage.RateLimitNotice("b1/7", 2.5, 100);

    /** The closed connections after which it is known what an entry of the earliest release can read. */
    private static final int MAX_CLOSED_CONNECTIONS = 2;

    private static EntryAnnouncement announcement(EarlierEntry earlier, int callerPort) {
        return new EntryAnnouncement(EarlierEntry.SELF, "127.0.0.1", callerPort, earlier.port(), ZONE, "secret", 0);
    }

    /** Tests the requests of an entry to one of an earlier release. */
    @Nested
    class ToEarlierEntry {
        private final GatewayClock clock = new GatewayClock();
        private final ExecutorService workers = Executors.newFixedThreadPool(2);
        private final PeerMesh mesh = new PeerMesh(
                new EntryAnnouncement(Incarnation.of("entry", 1), "127.0.0.1", 8000, 9000, ZONE, "secret"),
                () -> false,
                workers,
                new PeerTraffic(),
                new ContentExchange(Optional::empty),
                new EventLog());
        private EarlierEntry earlier;

        private void start(EarlierRelease release) throws IOException {
            earlier = new EarlierEntry(release);
            mesh.announcementsRead(List.of(
                    new FeedRecord("e1", Optional.of(announcement(earlier, 1).toJson()))));
        }

        @AfterEach
        void close() throws IOException {
            mesh.close();
            earlier.close();
            workers.shutdownNow();
        }

        /** Exchanges state until the entry has answered; returns the state that the entry could read last. */
        private JsonNode exchange(List<PeerMessage.RateLimitNotice> limits, boolean partitioned) throws Exception {
            PeerMessage.Pulse state = new PeerMessage.Pulse(
                    true, 1, 0, Map.of(), Map.of(), Map.of(), List.of(), limits, false, 0, partitioned);
            CountDownLatch answered = new CountDownLatch(1);
            mesh.exchangeState(state, clock, (from, pulse, requestedAt, now) -> answered.countDown());
            assertThat(answered.await(5, TimeUnit.SECONDS)).isTrue();
            List<JsonNode> received = earlier.received();
            return received.get(received.size() - 1).get("pulse");
        }

        @ParameterizedTest
        @EnumSource
        void partitionedEntryExchangesState(EarlierRelease release) throws Exception {
            start(release);
            JsonNode state = exchange(List.of(), true);
            boolean readsPartition = release.protocol().includes(PeerProtocol.PARTITIONS);
            assertThat(state.get("ready").asBoolean()).isEqualTo(readsPartition);
            assertThat(state.path("partitioned").asBoolean()).isEqualTo(readsPartition);
        }

        @ParameterizedTest
        @EnumSource
        void rateLimitsReachEntriesThatReadThem(EarlierRelease release) throws Exception {
            start(release);
            boolean readsLimits = release.protocol().includes(PeerProtocol.RATE_LIMITS);
            assertThat(exchange(List.of(LIMIT), true).path("limits").size()).isEqualTo(readsLimits ? 1 : 0);
            assertThat(exchange(List.of(), false).get("ready").asBoolean()).isTrue();
            assertThat(exchange(List.of(LIMIT), false).path("limits").size()).isEqualTo(readsLimits ? 1 : 0);
        }

        @ParameterizedTest
        @EnumSource
        void connectionsAreClosedUntilItIsKnownWhatTheEntryReads(EarlierRelease release) throws Exception {
            start(release);
            for (int i = 0; i < 5; i++) {
                exchange(List.of(LIMIT), true);
            }
            assertThat(earlier.unreadable()).isAtMost(MAX_CLOSED_CONNECTIONS);
            assertThat(earlier.unreadable())
                    .isEqualTo(PeerProtocol.LAST_UNANNOUNCED.number()
                            - release.protocol().number());
        }

        @ParameterizedTest
        @EnumSource
        void requestsAreRelayedOnlyToEntriesThatReadTheirMarks(EarlierRelease release) throws Exception {
            start(release);
            exchange(List.of(), false);
            boolean readsMarks = release.protocol().includes(PeerProtocol.PARTITIONS);
            assertThat(mesh.relayPeer(Set.of(), id -> 0, clock.now()).isPresent())
                    .isEqualTo(readsMarks);
        }

        @ParameterizedTest
        @EnumSource
        void serverListIsReadFromFollowersThatKnowEras(EarlierRelease release) throws Exception {
            start(release);
            exchange(List.of(), false);
            boolean knowsEras = release.protocol().includes(PeerProtocol.RATE_LIMITS);
            for (int i = 0; i < 3; i++) {
                Optional<RelayedPage> page = mesh.readFeed(
                                Feed.BACKEND_SERVERS, new FeedPosition(3, 12), ReadLevel.FOLLOWERS, clock)
                        .join();
                assertThat(page.isPresent()).isEqualTo(knowsEras);
            }
            assertThat(earlier.unreadable()).isAtMost(MAX_CLOSED_CONNECTIONS);
        }
    }

    /** Tests the answers of an entry to one of an earlier release. */
    @Nested
    class FromEarlierEntry extends GatewayTestSupport {
        private final SwitchedLink link = new SwitchedLink();
        private EarlierEntry earlier;
        private RawBackend callers;
        private EntryAnnouncement entry;

        private void startBeside(EarlierRelease release) throws Exception {
            earlier = new EarlierEntry(release);
            callers = new RawBackend((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
            platform = new FakePlatform(configuration(), List.of());
            platform.announce("e1", announcement(earlier, callers.port()).toJson());
            platform.grantPartitions(Set.of(0));
            node = GatewayNode.open(platform, link::replaceIn);
            await(() -> status(platform.readinessUrl()) == 200);
            entry = platform.announcement("entry");
            await(() -> !earlier.received().isEmpty());
        }

        @AfterEach
        void closeEarlier() throws IOException {
            earlier.close();
            callers.close();
        }

        private JsonNode ask(String frame) throws IOException {
            return earlier.ask(entry.peerAddress(), new PeerSecret(entry.secret()), frame);
        }

        private boolean tellsPartition() {
            try {
                JsonNode state = ask("state").get("pulse");
                return state.path("partitioned").asBoolean()
                        || !state.get("ready").asBoolean();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        @ParameterizedTest
        @EnumSource
        void stateOfPartitionedEntryIsReadable(EarlierRelease release) throws Exception {
            startBeside(release);
            assertThat(tellsPartition()).isFalse();
            link.cut();
            assertThat(tellsPartition()).isTrue();
        }

        /** An entry that ignores marks tries as many servers as the route allows, each time that it gets the request. */
        @ParameterizedTest
        @EnumSource
        void requestIsRefusedRatherThanRelayedToEntryThatIgnoresMarks(EarlierRelease release) throws Exception {
            startBeside(release);
            boolean readsMarks = release.protocol().includes(PeerProtocol.PARTITIONS);
            await(() -> earlier.received().size() > 1);
            link.cut();
            assertThat(post("/unsafe/1").statusCode()).isEqualTo(readsMarks ? 200 : 503);
            assertThat(callers.requests()).hasSize(readsMarks ? 1 : 0);
        }

        @ParameterizedTest
        @EnumSource
        void answersToAllRequestsAreReadable(EarlierRelease release) throws Exception {
            startBeside(release);
            assertThat(ask("configuration-ask").get("k").asText()).isEqualTo("N");
            assertThat(ask("suspected").get("k").asText()).isEqualTo("S");
            assertThat(ask("crashes").get("k").asText()).isEqualTo("S");
            assertThat(ask("crashes-ask").get("k").asText()).isEqualTo("D");
        }

        /** A position without an era may be of a store that was restored since; the entry reads the store instead. */
        @ParameterizedTest
        @EnumSource(names = "PROMPT_PARTS")
        void positionsWithoutEraAreNotServed(EarlierRelease release) throws Exception {
            startBeside(release);
            assertThat(ask("servers-ask").get("k").asText()).isEqualTo("x");
        }
    }
}
