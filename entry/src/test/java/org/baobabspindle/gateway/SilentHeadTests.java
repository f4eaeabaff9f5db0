package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * Tests that a stream is quarantined after two heads crashed while running it: each head becomes unresponsive while the other
 * member of its group responds, and is then listed with a later start.
 */
class SilentHeadTests extends EngineGroupTestSupport {
    private static final long LATER_START = 2;

    private double retryAfterSeconds() {
        try {
            return Double.parseDouble(
                    sendStream().headers().firstValue("Retry-After").orElse("0"));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void streamIsQuarantinedAfterTwoHeadsCrashedUnderIt() throws Exception {
        startGroups(Streams.RESUMABLE, List.of("d1", "d2"), (request, out, socket) -> {
            RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
            RawBackend.awaitClose(socket);
        });
        boolean aborted = false;
        try {
            sendStream();
        } catch (IOException e) {
            aborted = true;
        }
        assertThat(aborted).isTrue();
        assertThat(retryAfterSeconds()).isEqualTo(1);
        for (int i = 0; i < 2; i++) {
            String domain = "d" + (i + 1);
            platform.relist(engine("head-" + domain, backends.get(i).port(), domain, LATER_START, Optional.empty()));
        }
        await(() -> retryAfterSeconds() > 20);
        assertThat(backends.get(0).requests().size()
                        + backends.get(1).requests().size())
                .isEqualTo(2);
    }
}
