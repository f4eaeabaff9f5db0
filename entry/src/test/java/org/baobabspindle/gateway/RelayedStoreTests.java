package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.baobabspindle.port.Feed;
import org.baobabspindle.port.FeedPage;
import org.baobabspindle.port.FeedRecord;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** An entry of a large fleet beside others that follow the store. */
class RelayedStoreTests {
    private static final Duration WAIT = Duration.ofSeconds(1);
    private static final FeedPage FROM_OTHERS = new FeedPage(List.of(new FeedRecord("s1", Optional.empty())), 5, false);

    private final GatewayClock clock = new GatewayClock();
    private final RecentPages recent = new RecentPages();
    private FakePlatform platform;
    private Optional<FeedPage> others = Optional.of(FROM_OTHERS);
    private int asked;
    private boolean relayed = true;
    private RelayedStore store;

    @BeforeEach
    void createStore() throws Exception {
        platform = new FakePlatform(GatewayTestSupport.configuration(), List.of());
        store = new RelayedStore(
                platform,
                () -> relayed,
                from -> {
                    asked++;
                    return CompletableFuture.completedFuture(others);
                },
                recent,
                clock);
    }

    private FeedPage read(Feed feed, long from) {
        return store.read(feed, from, WAIT).join();
    }

    @Test
    void theListOfBackendServersIsReadFromOthers() {
        assertThat(read(Feed.BACKEND_SERVERS, 4)).isEqualTo(FROM_OTHERS);
    }

    @Test
    void theStoreIsReadWhereNoOtherEntryCanTell() {
        others = Optional.empty();
        assertThat(read(Feed.BACKEND_SERVERS, 4).next()).isEqualTo(4);
        assertThat(asked).isEqualTo(1);
    }

    @Test
    void theConfigurationIsReadFromTheStore() {
        assertThat(read(Feed.CONFIGURATION, 4).next()).isEqualTo(4);
        assertThat(asked).isEqualTo(0);
    }

    @Test
    void anEntryThatFollowsTheStorePassesOnWhatItReads() {
        relayed = false;
        platform.unlist("s9");
        read(Feed.BACKEND_SERVERS, 4);
        FeedPage passedOn = recent.after(4, clock.now()).orElseThrow();
        assertThat(passedOn.records().get(0).key()).isEqualTo("s9");
        assertThat(passedOn.next()).isEqualTo(5);
    }

    @Test
    void whatCameFromOthersIsNotPassedOnAsFresh() {
        read(Feed.BACKEND_SERVERS, 4);
        assertThat(recent.after(4, clock.now())).isEqualTo(Optional.empty());
    }

    @Test
    void anEntryWhoseReadsFailPassesNothingOn() {
        relayed = false;
        read(Feed.BACKEND_SERVERS, 4);
        platform.failReads(Feed.BACKEND_SERVERS, true);
        assertThat(store.read(Feed.BACKEND_SERVERS, 4, WAIT).isCompletedExceptionally())
                .isTrue();
        assertThat(recent.after(4, clock.now().plus(RecentPages.MAX_AGE.plusMillis(10))))
                .isEqualTo(Optional.empty());
    }
}
