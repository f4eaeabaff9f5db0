package org.baobabspindle.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;

/** Base of tests with a second gateway that shares the store with the first, and with servers that can crash. */
abstract class TwoEntryTestSupport extends GatewayTestSupport {
    FakePlatform otherPlatform;
    private GatewayNode otherNode;

    @AfterEach
    void shutDownOtherNode() throws Exception {
        if (otherNode != null) {
            otherNode.shutDown();
        }
    }

    /** Starts the second gateway and waits until both know each other. */
    void startOtherNode() throws Exception {
        startOtherNode(() -> false);
    }

    /** Starts the second gateway, which counts as partitioned from the backend servers while the condition holds. */
    void startOtherNode(BooleanSupplier partitioned) throws Exception {
        otherPlatform = new FakePlatform("other", platform);
        otherNode = GatewayNode.open(otherPlatform, partitioned);
        await(() -> status(otherPlatform.readinessUrl()) == 200);
        await(() -> knownEntries(platform) == 2 && knownEntries(otherPlatform) == 2);
    }

    private int knownEntries(FakePlatform entry) {
        return addressesFrom(entry).size();
    }

    /** Returns the addresses that an entry gives to callers. */
    Set<String> addressesFrom(FakePlatform entry) {
        try {
            HttpRequest ask =
                    HttpRequest.newBuilder(URI.create(entry.directoryUrl())).build();
            return Set.of(
                    http.send(ask, HttpResponse.BodyHandlers.ofString()).body().split(","));
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Sends a request and returns the status; a connection that breaks counts as 502. */
    int statusOf(HttpRequest request) throws InterruptedException {
        try {
            return http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (IOException e) {
            return 502;
        }
    }

    RawBackend backendOf(int port) {
        return backends.stream().filter(b -> b.port() == port).findFirst().orElseThrow();
    }

    /** Returns the number of servers that have crashed. */
    int crashed() {
        return (int) backends.stream().filter(RawBackend::crashed).count();
    }
}
