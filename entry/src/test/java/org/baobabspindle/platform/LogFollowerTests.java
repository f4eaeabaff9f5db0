package org.baobabspindle.platform;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.baobabspindle.core.id.Incarnation;
import org.baobabspindle.core.id.LogOffset;
import org.baobabspindle.core.log.LogCodec;
import org.baobabspindle.core.log.LogEnvelope;
import org.baobabspindle.core.log.ReplayedState;
import org.baobabspindle.core.log.SnapshotTaken;
import org.baobabspindle.http.Json;
import org.baobabspindle.standins.LogStandin;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(20)
class LogFollowerTests {
    /** The log keeps two snapshots and the record before them. */
    private static final int RETAINED = 3;

    private static final int EXPIRING = 5;

    private final HttpClient http = new HttpClient();
    private final List<LogOffset> restored = new CopyOnWriteArrayList<>();
    private final List<LogOffset> replayed = new CopyOnWriteArrayList<>();
    private LogStandin log;
    private LogClient client;
    private Thread reader;

    private final LogFollower.Sink sink = new LogFollower.Sink() {
        @Override
        public LogOffset replay(LogOffset offset, String line) {
            replayed.add(offset);
            return offset.next();
        }

        @Override
        public void restore(ReplayedState state) {
            restored.add(state.nextOffset());
        }

        @Override
        public void logHeadRead(Instant requestedAt, LogOffset head) {}
    };

    @BeforeEach
    void start() throws Exception {
        http.start();
        log = LogStandin.start("127.0.0.1", 0, RETAINED);
        client = new LogClient(http, "http://127.0.0.1:" + log.port());
    }

    @AfterEach
    void stop() throws Exception {
        reader.interrupt();
        reader.join();
        http.stop();
        log.close();
    }

    private static String snapshot(JsonNode state) {
        return LogCodec.write(
                new LogEnvelope(Incarnation.of("e", 1), 1, new SnapshotTaken(LogOffset.of(EXPIRING), state)));
    }

    @ParameterizedTest
    @ValueSource(strings = {"{}", "7", "{\"regions\":7}", "{\"next\":-1}", "[]"})
    void restoresTheNextSnapshotIfOneIsMalformed(String state) throws Exception {
        ReplayedState sound = new ReplayedState();
        for (int i = 0; i < EXPIRING; i++) {
            client.append(List.of("unknown"));
            sound.apply(LogOffset.of(i), "unknown");
        }
        client.append(List.of(snapshot(Json.mapper().readTree(state)), snapshot(sound.snapshot())));
        LogFollower follower = new LogFollower(client, Instant::now, Duration.ofMillis(50), sink);
        reader = new Thread(follower::run);
        reader.start();
        follower.caughtUp().get(5, TimeUnit.SECONDS);
        assertThat(restored).containsExactly(LogOffset.of(EXPIRING));
        assertThat(replayed).containsExactly(LogOffset.of(EXPIRING), LogOffset.of(EXPIRING + 1));
    }
}
