package org.baobabspindle.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stands in for a model engine that holds one part of a replica. It answers {@code GET /status}, takes orders at
 * {@code POST /order} and runs requests at {@code POST /v1/completions} when it is the first member of a ready group
 * whose other members it can reach.
 */
public final class EngineStandin implements AutoCloseable {
    /** A prompt that holds this text crashes the engine that runs it. */
    public static final String CRASH_MARK = "CRASH-THE-ENGINE";

    private static final int HALT_STATUS = 3;
    private static final int PING_MILLIS = 200;
    private static final int PINGS_MISSED = 3;
    private static final int CACHE_ENTRIES = 64;

    private final EngineOptions options;
    private final long number;
    private final Faults faults = new Faults();
    private final StandinServer server;
    private final int port;
    private final AtomicInteger running = new AtomicInteger();
    private final ExecutorService background = Executors.newCachedThreadPool(r -> {
        Thread t = new Thread(r, "engine-background");
        t.setDaemon(true);
        return t;
    });
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(Duration.ofMillis(PING_MILLIS * 2L))
            .build();
    private final Map<String, Boolean> prefixCache = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > CACHE_ENTRIES;
        }
    };
    private final Map<String, Integer> missed = new LinkedHashMap<>();
    private Part part = Part.NONE;
    private long fencingEpoch;
    private long fencingCounter;
    private volatile boolean leaving;
    private volatile boolean broken;

    private record Part(long group, String model, String readiness, List<String> members) {
        static final Part NONE = new Part(-1, "", "IDLE", List.of());
    }

    private EngineStandin(EngineOptions options) throws Exception {
        this.options = options;
        this.number = System.currentTimeMillis();
        this.server = StandinServer.start(
                options.host(),
                options.port(),
                faults,
                Map.of(
                        "/status", this::status,
                        "/order", this::order,
                        "/leave", this::leave,
                        "/crash", x -> crash(),
                        "/v1/completions", this::complete));
        this.port = server.port();
        background.execute(this::watchMembers);
    }

    /**
     * Starts an engine.
     *
     * @param options how it behaves
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static EngineStandin start(EngineOptions options) throws Exception {
        return new EngineStandin(options);
    }

    /**
     * Returns the port.
     *
     * @return the TCP port
     */
    public int port() {
        return port;
    }

    /**
     * Returns how the instance list describes this engine.
     *
     * @return the description
     */
    public ObjectNode describe() {
        return Exchange.JSON
                .createObjectNode()
                .put("id", options.id())
                .put("incarnation", number)
                .put("kind", "engine")
                .put("host", options.host())
                .put("port", port())
                .put("domain", options.domain())
                .put("zone", options.zone())
                .put("region", options.region())
                .put("checksFencing", options.checksFencing())
                .put("accelerators", 4);
    }

    private synchronized void status(Exchange x) throws IOException {
        ObjectNode answer = Exchange.JSON
                .createObjectNode()
                .put("id", options.id())
                .put("incarnation", number)
                .put("readiness", part.readiness())
                .put("model", part.model())
                .put("leaving", leaving)
                .put("running", running.get());
        if (part.group() >= 0) {
            answer.put("group", part.group());
        }
        x.answer(200, answer);
    }

    private void leave(Exchange x) throws IOException {
        leaving = true;
        x.answer(200, Map.of("leaving", true));
    }

    private synchronized void order(Exchange x) throws IOException {
        JsonNode order = x.body();
        long epoch = order.path("epoch").asLong();
        long counter = order.path("counter").asLong();
        boolean old = epoch < fencingEpoch || (epoch == fencingEpoch && counter <= fencingCounter);
        if (options.checksFencing() && old) {
            x.answer(409, Map.of("error", "old fencing number"));
            return;
        }
        fencingEpoch = epoch;
        fencingCounter = counter;
        obey(order);
        x.answer(200, Map.of("taken", true));
    }

    private void obey(JsonNode order) {
        if (!order.hasNonNull("group")) {
            part = Part.NONE;
            return;
        }
        List<String> members = new ArrayList<>();
        order.path("members").forEach(m -> members.add(m.asText()));
        String model = order.path("model").asText();
        boolean holdsWeights = part.model().equals(model) && part.readiness().equals("READY");
        part = new Part(order.path("group").asLong(), model, "LOADING", members);
        broken = false;
        Part loading = part;
        background.execute(() -> load(loading, holdsWeights));
    }

    private void load(Part loading, boolean holdsWeights) {
        try {
            if (!holdsWeights && !options.weightsUrl().isEmpty()) {
                get(options.weightsUrl() + "/weights", Duration.ofMinutes(5));
            }
            Thread.sleep(holdsWeights ? options.loadMillis() / 5 : options.loadMillis());
        } catch (IOException | InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (part.equals(loading)) {
                part = new Part(loading.group(), loading.model(), "READY", loading.members());
            }
        }
    }

    private void watchMembers() {
        try {
            while (true) {
                Thread.sleep(PING_MILLIS);
                pingMembers();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Notices as the first member of a group that another member is gone; the replica is then broken. */
    private void pingMembers() {
        Part mine;
        synchronized (this) {
            mine = part;
        }
        boolean ready = mine.readiness().equals("READY");
        boolean first = ready && mine.members().get(0).equals(options.host() + ':' + port());
        if (!first) {
            missed.clear();
            return;
        }
        for (String m : mine.members().subList(1, mine.members().size())) {
            if (holdsGroup(m, mine.group())) {
                missed.remove(m);
            } else if (missed.merge(m, 1, Integer::sum) >= PINGS_MISSED) {
                broken = true;
            }
        }
    }

    private boolean holdsGroup(String address, long group) {
        try {
            Optional<JsonNode> status = get("http://" + address + "/status", Duration.ofMillis(PING_MILLIS * 2L));
            return status.isPresent() && status.get().path("group").asLong(-1) == group;
        } catch (IOException | InterruptedException e) {
            return false;
        }
    }

    private Optional<JsonNode> get(String url, Duration timeout) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create(url)).timeout(timeout).build();
        HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
        return response.statusCode() == 200 ? Optional.of(Exchange.JSON.readTree(response.body())) : Optional.empty();
    }

    private void complete(Exchange x) throws IOException, InterruptedException {
        JsonNode request = x.body();
        long group = request.path("group").asLong();
        boolean ready;
        synchronized (this) {
            ready = part.group() == group && part.readiness().equals("READY") && !broken;
        }
        if (!ready || running.incrementAndGet() > options.maxRunning()) {
            if (ready) {
                running.decrementAndGet();
            }
            x.answer(409, Map.of("error", "not run", "ready", ready));
            return;
        }
        try {
            generate(x, request, group);
        } finally {
            running.decrementAndGet();
        }
    }

    private void generate(Exchange x, JsonNode request, long group) throws IOException, InterruptedException {
        String prompt = request.path("prompt").asText();
        if (prompt.contains(CRASH_MARK)) {
            crash();
        }
        int count = request.path("max_tokens").asInt(16);
        String attempt = request.path("attempt").asText();
        Thread.sleep(cached(prompt) ? options.firstTokenMillis() / 4 : options.firstTokenMillis());
        try (OutputStream out = x.stream()) {
            for (int i = request.path("resume_from").asInt(0); i < count; i++) {
                if (isBroken(group)) {
                    throw new IOException("the replica is broken");
                }
                Thread.sleep(options.tokenMillis());
                event(out, Map.of("attempt", attempt, "index", i, "token", token(prompt, i)));
            }
            event(out, Map.of("attempt", attempt, "end", true, "count", count));
        }
    }

    private synchronized boolean isBroken(long group) {
        return broken || part.group() != group;
    }

    private boolean cached(String prompt) {
        String prefix = prompt.substring(0, Math.min(prompt.length(), 64));
        synchronized (prefixCache) {
            return prefixCache.put(prefix, true) != null;
        }
    }

    private static void event(OutputStream out, Map<String, Object> event) throws IOException {
        String line = "data: " + Exchange.JSON.writeValueAsString(event) + "\n\n";
        out.write(line.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /**
     * Returns the token that every engine generates at a place of the answer to a prompt.
     *
     * @param prompt the prompt
     * @param index the place, from 0
     * @return the token
     */
    public static String token(String prompt, int index) {
        return "w" + Integer.toString(Math.floorMod(prompt.hashCode() * 31 + index * 7919, 46_656), 36) + ' ';
    }

    private void crash() {
        if (options.haltsProcess()) {
            Runtime.getRuntime().halt(HALT_STATUS);
        }
        broken = true;
        close();
        throw new IllegalStateException("crashed");
    }

    @Override
    public void close() {
        background.shutdownNow();
        server.close();
    }
}
