package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.client.HttpClient;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests refusals that a backend server sends a second time, where the response to the next request is expected. */
class LateRefusalTests extends GatewayTestSupport {
    private static final int REQUESTS = 12;

    /** So few that the server is not taken for faulty. */
    private static final int FEW_REQUESTS = 3;

    /** The statuses that promise a caller that its request has not run. */
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

    private final Map<String, Integer> runs = new ConcurrentHashMap<>();

    private void serve(String request, OutputStream out) throws IOException {
        runs.merge(RawBackend.header(request, "Id"), 1, Integer::sum);
        RawBackend.write(out, plain(request, "done"));
    }

    private static String refusal(int status) {
        return "HTTP/1.1 " + status + " Full\r\n" + (status == 421 ? "" : "Not-Run: 1\r\n")
                + "Content-Length: 0\r\n\r\n";
    }

    /** Refuses every second request, and runs a request after it has sent the last refusal of its connection again. */
    private RawBackend.Script repeatsRefusals(int status) {
        Map<Socket, String> late = new ConcurrentHashMap<>();
        Set<String> seen = ConcurrentHashMap.newKeySet();
        return (request, out, socket) -> {
            String copy = late.remove(socket);
            if (copy != null) {
                RawBackend.write(out, copy);
                Thread.sleep(20);
            } else if (seen.add(RawBackend.header(request, "Id")) && seen.size() % 2 == 1) {
                late.put(socket, refusal(status));
                RawBackend.write(out, refusal(status));
                return;
            }
            serve(request, out);
        };
    }

    private int send(String path, String id) throws Exception {
        HttpRequest r = request(path)
                .setHeader("Id", id)
                .POST(HttpRequest.BodyPublishers.ofString("order"))
                .build();
        return http.send(r, HttpResponse.BodyHandlers.ofString()).statusCode();
    }

    @ParameterizedTest
    @ValueSource(ints = {503, 429, 421})
    void requestThatMeetsALateRefusalRunsOnce(int status) throws Exception {
        start(repeatsRefusals(status), (request, out, socket) -> serve(request, out));
        for (int i = 0; i < REQUESTS; i++) {
            send("/unsafe/x", "r" + i);
        }
        assertThat(runs).isNotEmpty();
        assertThat(Set.copyOf(runs.values())).containsExactly(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/safe/x"})
    void requestThatMeetsALateRefusalIsNotRefusedWhileItRuns(String path) throws Exception {
        start(repeatsRefusals(503));
        for (int i = 0; i < REQUESTS; i++) {
            int status = send(path, "r" + i);
            assertThat(PROMISES.contains(status) && runs.containsKey("r" + i)).isFalse();
        }
        assertThat(runs).isNotEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"/unsafe/x", "/safe/x"})
    void refusalThatFollowsAnotherResponseIsNoPromise(String path) throws Exception {
        Set<Socket> used = ConcurrentHashMap.newKeySet();
        start((request, out, socket) -> {
            if (!used.add(socket)) {
                RawBackend.write(out, refusal(503));
                Thread.sleep(20);
            }
            serve(request, out);
        });
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(PROMISES).doesNotContain(send(path, "r" + i));
        }
    }

    @Test
    void connectionOfARefusalWithoutIdIsNotUsedAgain() throws Exception {
        Set<Socket> refused = ConcurrentHashMap.newKeySet();
        Set<Socket> usedAgain = ConcurrentHashMap.newKeySet();
        start((request, out, socket) -> {
            if (!refused.add(socket)) {
                usedAgain.add(socket);
            }
            RawBackend.write(out, refusal(503));
        });
        for (int i = 0; i < FEW_REQUESTS; i++) {
            assertThat(send("/safe/x", "r" + i)).isEqualTo(503);
        }
        assertThat(refused).hasSize(FEW_REQUESTS);
        assertThat(usedAgain).isEmpty();
    }

    /** Only the first of these refusals is in doubt, since its connection has carried another request. */
    @Test
    void refusalsOfAServerThatDoesNotNameRequestsArePromises() throws Exception {
        start((request, out, socket) -> {
            if (RawBackend.header(request, "Id").equals("first")) {
                serve(request, out);
            } else {
                RawBackend.write(out, refusal(503));
            }
        });
        assertThat(send("/safe/x", "first")).isEqualTo(200);
        assertThat(send("/safe/x", "r0")).isEqualTo(502);
        for (int i = 1; i < FEW_REQUESTS; i++) {
            assertThat(send("/safe/x", "r" + i)).isEqualTo(503);
        }
    }

    /** Only a server that states that it did not run a request can promise that it never will. */
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusOfARequestThatHasRunIsNotPassedOnAsAPromise(int status) throws Exception {
        start((request, out, socket) -> RawBackend.write(
                out,
                "HTTP/1.1 " + status + " X\r\nId: " + RawBackend.header(request, "Id")
                        + "\r\nStamp: s\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send("/unsafe/x", "r0")).isEqualTo(502);
    }

    /** The responses to orders and probes bear no ids. */
    @Test
    void responsesToOrdersAndProbesCannotBeLateCopies() throws Exception {
        Set<Socket> connections = ConcurrentHashMap.newKeySet();
        start((request, out, socket) -> {
            connections.add(socket);
            serve(request, out);
        });
        int calls = 0;
        for (HttpClient client : platform.engineClients()) {
            for (int i = 0; i < FEW_REQUESTS; i++) {
                client.GET("http://127.0.0.1:" + backends.get(0).port() + "/order");
                calls++;
            }
        }
        assertThat(calls).isAtLeast(FEW_REQUESTS);
        assertThat(connections).hasSize(calls);
    }

    @Test
    void requestThatWasRefusedWithoutItsIdIsServedByAnotherServer() throws Exception {
        start(
                (request, out, socket) -> RawBackend.write(out, refusal(503)),
                (request, out, socket) -> serve(request, out));
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(send("/unsafe/x", "r" + i)).isEqualTo(200);
        }
    }
}
