package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.baobabspindle.port.Feed;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that an entry that has relayed a request to an entry of a newer version does not go back to its own for its
 * callers.
 */
class RelayedVersionTests extends TwoEntryTestSupport {
    private static final Duration TIMEOUT = Duration.ofSeconds(8);
    private static final long MAX_BODY_BYTES = 1_000;

    private final SwitchedLink link = new SwitchedLink();
    private final List<String> accounts = new CopyOnWriteArrayList<>();

    /** Starts an entry that does not learn of the second version, and another one that follows it. */
    @BeforeEach
    void startEntriesOfTwoVersions() throws Exception {
        start(
                configuration(1, TIMEOUT, MAX_BODY_BYTES, Map.of("a-key", "acme")),
                link::replaceIn,
                (request, out, socket) -> {
                    accounts.add(RawBackend.header(request, "Account"));
                    RawBackend.write(out, plain(request, "done"));
                });
        startOtherNode();
        platform.failReads(Feed.CONFIGURATION, true);
        otherPlatform.configure(configuration(2, TIMEOUT, MAX_BODY_BYTES, Map.of("a-key", "bolt", "b-key", "bolt")));
        link.cut();
        for (int i = 0; i < 500 && !accounts.contains("bolt"); i++) {
            Thread.sleep(20);
            accounts.clear();
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        }
        assertThat(accounts).containsExactly("bolt");
        assertThat(node.context().fleet().version()).isEqualTo(1);
        accounts.clear();
    }

    @Test
    void requestIsNotServedByAnOlderVersionAfterThat() throws Exception {
        link.heal();
        HttpResponse<String> response = post("/unsafe/x");
        assertThat(accounts).isEmpty();
        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(response.headers().firstValue("Retry-After")).isPresent();
    }

    @Test
    void keyOfTheNewerVersionIsNotDenied() throws Exception {
        link.heal();
        HttpResponse<String> response = http.send(
                request("/safe/x").setHeader("Key", "b-key").GET().build(), HttpResponse.BodyHandlers.ofString());
        assertThat(response.statusCode()).isEqualTo(503);
    }

    @Test
    void relayedRequestIsStillServedByTheNewerVersion() throws Exception {
        assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        assertThat(accounts).containsExactly("bolt");
    }

    @Test
    void requestsAreServedAgainOnceTheVersionHasArrived() throws Exception {
        link.heal();
        platform.configure(configuration(2, TIMEOUT, MAX_BODY_BYTES, Map.of("a-key", "bolt")));
        await(() -> node.context().fleet().version() == 2);
        assertThat(post("/unsafe/x").statusCode()).isEqualTo(200);
        assertThat(accounts).containsExactly("bolt");
    }

    @Test
    void callerDoesNotSeeTheVersion() throws Exception {
        HttpResponse<String> response = post("/unsafe/x");
        assertThat(response.headers().map().keySet().stream().filter(n -> n.startsWith("entry-")))
                .isEmpty();
    }
}
