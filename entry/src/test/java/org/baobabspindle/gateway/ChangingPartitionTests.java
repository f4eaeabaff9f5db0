package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.core.dispatch.RelayPolicy;
import org.junit.jupiter.api.Test;

/** Tests that promises to callers are kept while partitions of two entries begin and end at any moment. */
class ChangingPartitionTests extends TwoEntryTestSupport {
    private static final int ROUNDS = 40;
    private static final int REQUESTS_PER_ROUND = 3;
    private static final int EVENTS = 5;

    /** Every third request takes so long that it is moved if the partition lasts. */
    private static final long SLOW_MILLIS = 2 * RelayPolicy.MIN_SILENCE.toMillis();

    private static final long FAST_MILLIS = 20;

    private final SwitchedLink link = new SwitchedLink();
    private final SwitchedLink otherLink = new SwitchedLink();
    private final AtomicInteger count = new AtomicInteger();

    private void serve(String request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        Thread.sleep(count.incrementAndGet() % 3 == 0 ? SLOW_MILLIS : FAST_MILLIS);
        if (!request.startsWith("GET /stream/")) {
            RawBackend.write(out, plain(request, "done"));
            return;
        }
        String last = RawBackend.header(request, "Last-Event-Id");
        RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
        for (int i = last.isEmpty() ? 1 : Integer.parseInt(last) + 1; i <= EVENTS; i++) {
            RawBackend.write(out, chunk(event(i)));
            Thread.sleep(FAST_MILLIS);
        }
        RawBackend.write(out, "0\r\n\r\n");
    }

    private HttpRequest request(String kind, int number) {
        return HttpRequest.newBuilder(URI.create(platform.callersUrl() + "/" + kind + "/x"))
                .header("Id", kind + number)
                .header("Key", "a-key")
                .build();
    }

    private static String allEvents() {
        StringBuilder text = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            text.append(event(i));
        }
        return text.toString();
    }

    private int runs(String id) {
        return (int) backends.stream()
                .flatMap(b -> b.requests().stream())
                .filter(r -> RawBackend.header(r, "Id").equals(id))
                .count();
    }

    @Test
    void promisesAreKeptWhilePartitionsBeginAndEnd() throws Exception {
        start(link::replaceIn, this::serve, this::serve, this::serve);
        startOtherNode(otherLink::replaceIn);
        Map<String, CompletableFuture<HttpResponse<String>>> responses = new HashMap<>();
        for (int round = 0; round < ROUNDS; round++) {
            if (round % 4 == 1) {
                link.cut();
            } else if (round % 4 == 3) {
                link.heal();
            }
            if (round % 10 == 6) {
                otherLink.cut();
            } else if (round % 10 == 8) {
                otherLink.heal();
            }
            for (String kind : List.of("safe", "unsafe", "stream")) {
                for (int i = 0; i < REQUESTS_PER_ROUND; i++) {
                    HttpRequest r = request(kind, round * REQUESTS_PER_ROUND + i);
                    responses.put(
                            r.headers().firstValue("Id").orElseThrow(),
                            http.sendAsync(r, HttpResponse.BodyHandlers.ofString()));
                }
            }
            Thread.sleep(3 * FAST_MILLIS);
        }
        List<Integer> statuses = new ArrayList<>();
        for (Map.Entry<String, CompletableFuture<HttpResponse<String>>> e : responses.entrySet()) {
            statuses.add(check(e.getKey(), e.getValue()));
        }
        assertThat(statuses).contains(200);
    }

    /** Checks the response to a request and returns its status; 502 if the connection broke. */
    private int check(String id, CompletableFuture<HttpResponse<String>> response) throws InterruptedException {
        int status = 502;
        try {
            HttpResponse<String> r = response.get();
            status = r.statusCode();
            if (status == 200) {
                assertWithMessage(id).that(r.body()).isEqualTo(id.startsWith("stream") ? allEvents() : "done");
            }
        } catch (ExecutionException e) {
            assertWithMessage(id).that(id).startsWith("stream");
        }
        int runs = runs(id);
        assertWithMessage(id).that(status).isIn(List.of(200, 502, 503, 504));
        assertWithMessage(id).that(runs).isAtMost(id.startsWith("unsafe") ? 1 : 2);
        if (status == 503) {
            assertWithMessage(id).that(runs).isEqualTo(0);
        }
        return status;
    }
}
