package org.baobabspindle.lab;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.baobabspindle.core.group.Lifecycle;
import org.baobabspindle.core.id.ConfigurationVersion;
import org.baobabspindle.core.id.GroupId;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.peer.PeerAddress;
import org.baobabspindle.peer.PeerClient;
import org.baobabspindle.peer.PeerMessage;
import org.baobabspindle.peer.PeerSecret;
import org.baobabspindle.peer.PeerServer;
import org.baobabspindle.peer.PeerTraffic;

/** Measures the bytes of peer requests and responses between entries over a loopback connection. */
final class FrameSizes {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    /** Returns one result for the version request and one for each size of the groups request. */
    List<ObjectNode> measure() throws IOException {
        List<ObjectNode> lines = new ArrayList<>();
        lines.add(measure("version", 0));
        for (int groups : new int[] {1, 4, 8, 16, 37}) {
            lines.add(measure("groups", groups));
        }
        return lines;
    }

    private static PeerMessage respond(PeerMessage request) {
        if (request instanceof PeerMessage.GroupsAsk g) {
            return new PeerMessage.GroupsAnswer(g.groups().stream()
                    .map(id -> new PeerMessage.GroupDigest(id, Lifecycle.SERVING, 480, 17))
                    .toList());
        }
        return new PeerMessage.VersionAnswer(
                Incarnation.of("entry-17", 1_796_351_973_000L), ConfigurationVersion.of(400), 90);
    }

    private static ObjectNode measure(String frameType, int groups) throws IOException {
        ExecutorService workers = Executors.newCachedThreadPool();
        PeerTraffic clientTraffic = new PeerTraffic();
        PeerTraffic serverTraffic = new PeerTraffic();
        PeerSecret secret = new PeerSecret("measurement-secret");
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, FrameSizes::respond, serverTraffic);
                PeerClient client = new PeerClient(FleetBuilder.SELF, secret, workers, clientTraffic)) {
            List<GroupId> ids = new ArrayList<>();
            for (int i = 0; i < groups; i++) {
                ids.add(GroupId.of(100_000 + i));
            }
            PeerMessage request = frameType.equals("version")
                    ? new PeerMessage.VersionAsk(FleetBuilder.REGION)
                    : new PeerMessage.GroupsAsk(ids);
            client.ask(new PeerAddress("127.0.0.1", server.port()), request, TIMEOUT)
                    .join();
        } finally {
            workers.shutdownNow();
        }
        return new ObjectMapper()
                .createObjectNode()
                .put("frames", frameType)
                .put("groups", groups)
                .put("askBytes", totalBytes(clientTraffic))
                .put("answerBytes", totalBytes(serverTraffic));
    }

    private static long totalBytes(PeerTraffic traffic) {
        return traffic.bytesByMessageType().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }
}
