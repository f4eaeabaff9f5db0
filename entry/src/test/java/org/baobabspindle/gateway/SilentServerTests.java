package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.baobabspindle.core.id.InstanceId;
import org.junit.jupiter.api.Test;

/**
 * Tests that no stream is cut off because a server is silent for a while and then continues: the heads of groups are silent
 * between two events, and do not answer probes.
 */
class SilentServerTests extends EngineGroupTestSupport {
    private static final Duration SILENCE = Duration.ofMillis(1_200);

    /** A retry waits for half of the time that its route leaves; it leaves 6 s in all. */
    private static final Duration RETRY_WAIT = Duration.ofSeconds(3);

    private static final String WHOLE_STREAM = event(1) + event(2) + event(3);

    private static final RawBackend.Script SILENT_ONCE = (request, out, socket) -> {
        String last = RawBackend.header(request, "Last-Event-Id");
        int next = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(next)));
        Thread.sleep(SILENCE.toMillis());
        for (int i = next + 1; i <= 3; i++) {
            RawBackend.write(out, chunk(event(i)));
        }
        RawBackend.write(out, "0\r\n\r\n");
    };

    private void assertStreamIsWhole() throws Exception {
        HttpResponse<String> answer = sendStream();
        assertThat(answer.statusCode()).isEqualTo(200);
        assertThat(answer.body()).isEqualTo(WHOLE_STREAM);
    }

    @Test
    void streamOfSilentServerIsNotCutOffWithoutAnotherGroup() throws Exception {
        startGroups(Streams.RESUMABLE, List.of("d1"), SILENT_ONCE);
        assertStreamIsWhole();
        assertThat(backends.get(0).requests()).hasSize(1);
    }

    @Test
    void streamThatCannotBeResumedIsNotCutOffWhileItsServerIsSilent() throws Exception {
        startGroups(Streams.NOT_RESUMABLE, List.of("d1", "d2"), SILENT_ONCE);
        assertStreamIsWhole();
    }

    @Test
    void streamWithoutFurtherAttemptsIsNotCutOffWhileItsServerIsSilent() throws Exception {
        startGroups(Streams.RESUMABLE, List.of("d1", "d2", "d3"), SILENT_ONCE);
        assertStreamIsWhole();
    }

    /** A resumed stream would be refused, because its key is no longer valid. */
    @Test
    void streamIsNotCutOffWhenItsKeyIsRemovedBeforeItsServerIsSilent() throws Exception {
        startGroups(Streams.RESUMABLE, List.of("d1", "d2"), (request, out, socket) -> {
            platform.configure(groups(Streams.RESUMABLE, 2, DEFAULT_SLOTS, "b-key"));
            await(() -> statusWithUnknownModel() == 401);
            SILENT_ONCE.answer(request, out, socket);
        });
        assertStreamIsWhole();
    }

    private int statusWithUnknownModel() {
        try {
            HttpRequest r = request("/stream/x")
                    .header("Model", "unknown")
                    .POST(HttpRequest.BodyPublishers.ofString("prompt"))
                    .build();
            return http.send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    /** The group with fewer streams has one free slot for those of the other one. */
    @Test
    void streamsOfASilentServerAreNotCutOffForTheSameFreeSlot() throws Exception {
        int slots = 3;
        Map<String, Integer> streams = new ConcurrentHashMap<>();
        startGroups(groups(Streams.RESUMABLE, 1, slots, "a-key"), List.of("d1", "d2"), (request, out, socket) -> {
            String head = RawBackend.header(request, "Expect");
            String last = RawBackend.header(request, "Last-Event-Id");
            if (last.isEmpty()) {
                streams.merge(head, 1, Integer::sum);
                await(() -> streams.values().stream().mapToInt(n -> n).sum() == 2 * slots - 1);
            }
            if (streams.get(head) == slots) {
                SILENT_ONCE.answer(request, out, socket);
                return;
            }
            int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
            RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
            for (int i = first; i <= 100; i++) {
                RawBackend.write(out, chunk(event(i)));
                Thread.sleep(40);
            }
            RawBackend.write(out, "0\r\n\r\n");
        });
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 2 * slots - 1; i++) {
            int sent = i + 1;
            answers.add(http.sendAsync(streamRequest(), HttpResponse.BodyHandlers.ofString()));
            await(() -> backends.stream().mapToInt(b -> b.requests().size()).sum() >= sent);
        }
        for (CompletableFuture<HttpResponse<String>> a : answers) {
            assertThat(a.get().body()).startsWith(WHOLE_STREAM);
        }
    }

    /** The server of the first call serves the rest of the stream, once it continues. */
    @Test
    void streamIsNotCutOffWhenTheOtherServerRefusesIt() throws Exception {
        Set<String> heads = ConcurrentHashMap.newKeySet();
        startGroups(Streams.RESUMABLE, List.of("d1", "d2"), (request, out, socket) -> {
            String head = RawBackend.header(request, "Expect");
            if (heads.isEmpty() || heads.contains(head)) {
                heads.add(head);
                SILENT_ONCE.answer(request, out, socket);
            } else {
                RawBackend.write(out, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            }
        });
        assertStreamIsWhole();
    }

    @Test
    void groupIsUsedAgainWhenItsSilentServerHasContinued() throws Exception {
        CountDownLatch continued = new CountDownLatch(1);
        startGroups(Streams.RESUMABLE, List.of("d1"), (request, out, socket) -> {
            RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
            if (continued.getCount() == 0) {
                RawBackend.write(out, chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
                return;
            }
            Thread.sleep(SILENCE.toMillis());
            platform.makeResponsive(InstanceId.of("head-d1"));
            for (int i = 2; i <= 60; i++) {
                RawBackend.write(out, chunk(event(i)));
                continued.countDown();
                Thread.sleep(50);
            }
            RawBackend.write(out, "0\r\n\r\n");
        });
        CompletableFuture<HttpResponse<String>> first =
                http.sendAsync(streamRequest(), HttpResponse.BodyHandlers.ofString());
        continued.await();
        assertStreamIsWhole();
        assertThat(first.get().statusCode()).isEqualTo(200);
    }

    /** The group is excluded until its head answers probes again, although no stream shows that it has continued. */
    @Test
    void groupIsUsedAgainWhenItsSilentHeadAnswersProbes() throws Exception {
        CountDownLatch continued = new CountDownLatch(1);
        CountDownLatch served = new CountDownLatch(1);
        startGroups(Streams.RESUMABLE, List.of("d1"), (request, out, socket) -> {
            RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
            if (continued.getCount() > 0) {
                Thread.sleep(SILENCE.toMillis());
                platform.makeResponsive(InstanceId.of("head-d1"));
                continued.countDown();
                served.await();
            }
            RawBackend.write(out, chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
        });
        CompletableFuture<HttpResponse<String>> first =
                http.sendAsync(streamRequest(), HttpResponse.BodyHandlers.ofString());
        continued.await();
        assertStreamIsWhole();
        served.countDown();
        assertThat(first.get().body()).isEqualTo(WHOLE_STREAM);
    }

    /** The other server refuses the stream; the first one answers probes again after its silence. */
    @Test
    void streamReturnsToItsSilentServerAsSoonAsThatAnswersProbes() throws Exception {
        Set<String> heads = ConcurrentHashMap.newKeySet();
        startGroups(Streams.RESUMABLE, List.of("d1", "d2"), (request, out, socket) -> {
            String head = RawBackend.header(request, "Expect");
            if (heads.isEmpty()) {
                heads.add(head);
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")) + chunk(event(1)));
                Thread.sleep(SILENCE.toMillis());
                platform.makeResponsive(InstanceId.of(head));
                RawBackend.awaitClose(socket);
            } else if (heads.contains(head)) {
                RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
                RawBackend.write(out, chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
            } else {
                RawBackend.write(out, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            }
        });
        long startedAt = System.nanoTime();
        assertStreamIsWhole();
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt)).isLessThan(RETRY_WAIT);
    }

    /** Calls that this entry cancels to continue at another group are no failures of the silent one. */
    @Test
    void exclusionOfASilentGroupDoesNotGrowWithTheStreamsThatLeaveIt() throws Exception {
        int streams = 10;
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger sentToFirst = new AtomicInteger();
        AtomicInteger left = new AtomicInteger();
        startGroups(Streams.RESUMABLE, List.of("d1", "d2"), (request, out, socket) -> {
            boolean first = RawBackend.header(request, "Expect").equals("head-d1");
            boolean resumed = !RawBackend.header(request, "Last-Event-Id").isEmpty();
            RawBackend.write(out, String.format(EVENTS_HEAD, RawBackend.header(request, "Id")));
            if (resumed) {
                left.incrementAndGet();
                RawBackend.write(out, chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
                return;
            }
            RawBackend.write(out, chunk(event(1)));
            if (sent.incrementAndGet() <= streams) {
                sentToFirst.addAndGet(first ? 1 : 0);
                await(() -> sent.get() >= streams);
                if (first) {
                    RawBackend.awaitClose(socket);
                }
            } else if (first) {
                sentToFirst.incrementAndGet();
            }
            RawBackend.write(out, chunk(event(2)) + chunk(event(3)) + "0\r\n\r\n");
        });
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < streams; i++) {
            answers.add(http.sendAsync(streamRequest(), HttpResponse.BodyHandlers.ofString()));
        }
        for (CompletableFuture<HttpResponse<String>> a : answers) {
            assertThat(a.get().body()).isEqualTo(WHOLE_STREAM);
        }
        assertThat(left.get()).isAtLeast(3);
        int before = sentToFirst.get();
        long startedAt = System.nanoTime();
        while (sentToFirst.get() == before) {
            assertStreamIsWhole();
            Thread.sleep(50);
        }
        assertThat(Duration.ofNanos(System.nanoTime() - startedAt))
                .isLessThan(SuspectGroupProber.EXCLUSION_TIME.plusSeconds(2));
    }
}
