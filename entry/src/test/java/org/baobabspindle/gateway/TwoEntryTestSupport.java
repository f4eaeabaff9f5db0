package org.baobabspindle.gateway;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.UnaryOperator;
import org.baobabspindle.core.fleet.BackendServer;
import org.junit.jupiter.api.AfterEach;

/** Base of tests with a second gateway, and perhaps a third one, that shares the store with the first, and with servers that can crash. */
abstract class TwoEntryTestSupport extends GatewayTestSupport {
    FakePlatform otherPlatform;
    private final List<GatewayNode> otherNodes = new ArrayList<>();

    @AfterEach
    void shutDownOtherNodes() throws Exception {
        for (GatewayNode n : otherNodes) {
            n.shutDown();
        }
    }

    /** Starts the second gateway and waits until both know each other. */
    void startOtherNode() throws Exception {
        startOtherNode(UnaryOperator.identity());
    }

    /**
     * Starts the second gateway and waits until both know each other.
     *
     * @param adaptation simulates its surroundings
     * @param relisted backend servers that are listed differently at this gateway
     */
    void startOtherNode(UnaryOperator<EntryRelay.Surroundings> adaptation, BackendServer... relisted) throws Exception {
        otherPlatform = new FakePlatform("other", platform);
        for (BackendServer s : relisted) {
            otherPlatform.relist(s);
        }
        otherNodes.add(GatewayNode.open(otherPlatform, adaptation));
        await(() -> status(otherPlatform.readinessUrl()) == 200);
        await(() -> knownEntries(platform) == 2 && knownEntries(otherPlatform) == 2);
    }

    /** Starts a third gateway after the second one, and waits until the first one knows it. */
    void startThirdNode() throws Exception {
        FakePlatform third = new FakePlatform("third", platform);
        otherNodes.add(GatewayNode.open(third));
        await(() -> status(third.readinessUrl()) == 200);
        await(() -> addressesFrom(platform).contains("127.0.0.1:" + third.callerPort()));
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
