package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Tests that a stream is quarantined after two heads crashed while running it: each head becomes unresponsive while the other
 * member of its group responds, and is then listed with a later start.
 */
class SilentHeadTests extends GatewayTestSupport {
    private static final long FIRST_START = 1;
    private static final long LATER_START = 2;

    /** Starts two groups in two domains whose heads send one event and then stall. */
    private void startGroups() throws Exception {
        List<BackendServer> engines = new ArrayList<>();
        for (String domain : List.of("d1", "d2")) {
            RawBackend head = new RawBackend((request, out, socket) -> {
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
                RawBackend.awaitClose(socket);
            });
            backends.add(head);
            GroupKey key = new GroupKey("g-" + domain, 1);
            GroupMembership first = new GroupMembership(key, 0, MemberState.OPEN);
            GroupMembership second = new GroupMembership(key, 1, MemberState.READY);
            engines.add(TestEngines.pairEngine("head-" + domain, head.port(), domain, FIRST_START, Optional.of(first)));
            engines.add(
                    TestEngines.pairEngine("other-" + domain, head.port(), domain, FIRST_START, Optional.of(second)));
        }
        platform = new FakePlatform(TestEngines.configuration(), engines);
        for (String domain : List.of("d1", "d2")) {
            platform.makeUnresponsive(InstanceId.of("head-" + domain));
        }
        node = GatewayNode.open(platform);
        await(() -> status(platform.readinessUrl()) == 200);
    }

    private HttpResponse<String> send() throws Exception {
        HttpRequest r = request("/stream/x")
                .header("Model", TestEngines.PAIR_MODEL.name())
                .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                .build();
        return http.send(r, HttpResponse.BodyHandlers.ofString());
    }

    private double retryAfterSeconds() {
        try {
            return Double.parseDouble(send().headers().firstValue("Retry-After").orElse("0"));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void streamIsQuarantinedAfterTwoHeadsCrashedUnderIt() throws Exception {
        startGroups();
        boolean aborted = false;
        try {
            send();
        } catch (IOException e) {
            aborted = true;
        }
        assertThat(aborted).isTrue();
        assertThat(retryAfterSeconds()).isEqualTo(1);
        for (int i = 0; i < 2; i++) {
            String domain = "d" + (i + 1);
            platform.relist(TestEngines.pairEngine(
                    "head-" + domain, backends.get(i).port(), domain, LATER_START, Optional.empty()));
        }
        await(() -> retryAfterSeconds() > 20);
        assertThat(backends.get(0).requests().size()
                        + backends.get(1).requests().size())
                .isEqualTo(2);
    }
}
