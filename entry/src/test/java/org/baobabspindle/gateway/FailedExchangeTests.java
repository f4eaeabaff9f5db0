package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.id.AvailabilityZone;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

/** Tests that a request is answered at once if processing it fails with an exception. */
class FailedExchangeTests extends GatewayTestSupport {
    private static final int SLOTS = 6;

    /** No request can be created for this host. */
    private static BackendServer serverWithInvalidHost() {
        BackendServer valid = server("b1", 1);
        return new BackendServer(
                InstanceId.of("b1"),
                "desk",
                "in valid",
                1,
                AvailabilityZone.of("z1"),
                ServerState.READY,
                SLOTS,
                1,
                valid.domain(),
                valid.model(),
                valid.staged(),
                valid.group());
    }

    private long millisUntilRefusal() throws Exception {
        long startedAt = System.nanoTime();
        assertThat(post("/unsafe/x").statusCode()).isEqualTo(503);
        return Duration.ofNanos(System.nanoTime() - startedAt).toMillis();
    }

    @Test
    void requestIsNotForgottenWhenSendingItThrows() throws Exception {
        platform = new FakePlatform(configuration(), List.of(serverWithInvalidHost()));
        node = GatewayNode.open(platform);
        await(() -> status(platform.readinessUrl()) == 200);
        for (int i = 0; i < 2 * SLOTS; i++) {
            assertThat(millisUntilRefusal()).isLessThan(ROUTE_TIMEOUT.toMillis() / 2);
        }
    }

    @Test
    void malformedDeadlineOfTheCallerIsIgnored() throws Exception {
        start((request, out, socket) -> RawBackend.write(out, plain(request, "done")));
        for (String deadline : List.of("soon", "2500.5", "99999999999999999999")) {
            HttpResponse<String> answer = http.send(
                    request("/unsafe/x")
                            .header("Left-Ms", deadline)
                            .POST(HttpRequest.BodyPublishers.ofString("order"))
                            .build(),
                    HttpResponse.BodyHandlers.ofString());
            assertThat(answer.statusCode()).isEqualTo(200);
        }
    }
}
