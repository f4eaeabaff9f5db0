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

/** Measures the bytes of questions and answers between entries over a real connection. */
final class FrameSizes {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    List<ObjectNode> measure() throws IOException {
        List<ObjectNode> lines = new ArrayList<>();
        lines.add(measure("version", 0));
        for (int groups : new int[] {1, 4, 8, 16, 37}) {
            lines.add(measure("groups", groups));
        }
        return lines;
    }

    private static PeerMessage answer(PeerMessage ask) {
        if (ask instanceof PeerMessage.GroupsAsk g) {
            return new PeerMessage.GroupsAnswer(g.groups().stream()
                    .map(id -> new PeerMessage.GroupDigest(id, Lifecycle.SERVING, 480, 17))
                    .toList());
        }
        return new PeerMessage.VersionAnswer(
                Incarnation.of("entry-17", 1_796_351_973_000L), ConfigurationVersion.of(400), 90);
    }

    private static ObjectNode measure(String what, int groups) throws IOException {
        ExecutorService workers = Executors.newCachedThreadPool();
        PeerTraffic asks = new PeerTraffic();
        PeerTraffic answers = new PeerTraffic();
        PeerSecret secret = new PeerSecret("measurement-secret");
        try (PeerServer server = PeerServer.start("127.0.0.1", 0, secret, workers, FrameSizes::answer, answers);
                PeerClient client = new PeerClient(Fleet.SELF, secret, workers, asks)) {
            List<GroupId> ids = new ArrayList<>();
            for (int i = 0; i < groups; i++) {
                ids.add(GroupId.of(100_000 + i));
            }
            PeerMessage ask =
                    what.equals("version") ? new PeerMessage.VersionAsk(Fleet.REGION) : new PeerMessage.GroupsAsk(ids);
            client.ask(new PeerAddress("127.0.0.1", server.port()), ask, TIMEOUT)
                    .join();
        } finally {
            workers.shutdownNow();
        }
        return new ObjectMapper()
                .createObjectNode()
                .put("frames", what)
                .put("groups", groups)
                .put("askBytes", total(asks))
                .put("answerBytes", total(answers));
    }

    private static long total(PeerTraffic traffic) {
        return traffic.bytesByMessageType().values().stream()
                .mapToLong(Long::longValue)
                .sum();
    }
}
