package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

/** Tests a listed server at whose address another instance answers, such as a copy of a record under another name. */
class MisdirectedRequestTests extends GatewayTestSupport {
    private static final int REQUESTS = 400;

    /** Then a server is excluded for a second or longer after each such answer. */
    private static final int ANSWERS_BEFORE_EXCLUSION = 5;

    private final AtomicInteger misdirected = new AtomicInteger();

    private final RawBackend.Script otherInstance = (request, out, socket) -> {
        misdirected.incrementAndGet();
        RawBackend.write(out, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
    };

    private final RawBackend.Script sound = (request, out, socket) -> RawBackend.write(out, plain(request, "done"));

    @Test
    void allRequestsAreServedAndFewAreRetried() throws Exception {
        start(otherInstance, sound);
        int served = 0;
        long startedAt = System.nanoTime();
        for (int i = 0; i < REQUESTS; i++) {
            served += post("/unsafe/x").statusCode() == 200 ? 1 : 0;
        }
        long seconds = (System.nanoTime() - startedAt) / 1_000_000_000;
        assertThat(served).isEqualTo(REQUESTS);
        assertThat(misdirected.get()).isAtMost(ANSWERS_BEFORE_EXCLUSION + (int) seconds);
    }

    /** One that rejects single requests so is no copy of another one. */
    @Test
    void serverThatAnswersItselfInBetweenIsNotExcluded() throws Exception {
        AtomicInteger requests = new AtomicInteger();
        start((request, out, socket) ->
                (requests.incrementAndGet() % 3 == 0 ? otherInstance : sound).answer(request, out, socket));
        for (int i = 0; i < 30; i++) {
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(i % 3 == 2 ? 503 : 200);
        }
    }

    @Test
    void serverIsUsedAgainOnceItAnswersItself() throws Exception {
        AtomicInteger served = new AtomicInteger();
        start((request, out, socket) -> {
            if (misdirected.get() < ANSWERS_BEFORE_EXCLUSION) {
                otherInstance.answer(request, out, socket);
            } else {
                served.incrementAndGet();
                sound.answer(request, out, socket);
            }
        });
        for (int i = 0; i < ANSWERS_BEFORE_EXCLUSION; i++) {
            assertThat(post("/unsafe/x").statusCode()).isEqualTo(503);
        }
        await(() -> {
            try {
                return post("/unsafe/x").statusCode() == 200;
            } catch (Exception e) {
                throw new IllegalStateException(e);
            }
        });
        assertThat(served.get()).isEqualTo(1);
    }
}
