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
 * Stand-in for a model engine that holds one part of a model replica. It returns its state at {@code GET /status} and
 * accepts orders at {@code POST /order}. The head of a group, which is its first member, also runs requests at
 * {@code POST /v1/completions} while it is ready and can reach all other members.
 */
public final class EngineStandin implements AutoCloseable {
    /** The marker that crashes an engine when it runs a prompt that contains the marker. */
    public static final String CRASH_MARKER = "CRASH-THE-ENGINE";

    private static final int CRASH_EXIT_STATUS = 3;
    private static final int PROBE_INTERVAL_MILLIS = 200;
    private static final int MAX_MISSED_PROBES = 3;
    private static final int PREFIX_CACHE_ENTRIES = 64;

    private final EngineOptions options;
    private final long incarnation;
    private final Faults faults = new Faults();
    private final StandinServer server;
    private final int port;
    private final AtomicInteger running = new AtomicInteger();
    private final ExecutorService background = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "engine-background");
        thread.setDaemon(true);
        return thread;
    });
    private final HttpClient http = HttpClient.newBuilder()
            .connectTimeout(Duration.ofMillis(PROBE_INTERVAL_MILLIS * 2L))
            .build();
    private final Map<String, Boolean> prefixCache = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > PREFIX_CACHE_ENTRIES;
        }
    };
    private final Map<String, Integer> missedProbes = new LinkedHashMap<>();
    private Assignment assignment = Assignment.NONE;
    private long fencingEpoch;
    private long fencingCounter;
    private volatile boolean leaving;
    private volatile boolean replicaBroken;

    private record Assignment(long group, String model, String readiness, List<String> members) {
        static final Assignment NONE = new Assignment(-1, "", "IDLE", List.of());
    }

    private EngineStandin(EngineOptions options) throws Exception {
        this.options = options;
        this.incarnation = System.currentTimeMillis();
        this.server = StandinServer.start(
                options.host(),
                options.port(),
                faults,
                Map.of(
                        "/status", this::getStatus,
                        "/order", this::handleOrder,
                        "/leave", this::leave,
                        "/crash", exchange -> crash(),
                        "/v1/completions", this::complete));
        this.port = server.port();
        background.execute(this::probeMembersPeriodically);
    }

    /**
     * Starts an engine stand-in.
     *
     * @param options the configuration
     * @return the running stand-in
     * @throws Exception if it cannot listen
     */
    public static EngineStandin start(EngineOptions options) throws Exception {
        return new EngineStandin(options);
    }

    /**
     * Returns the port that the stand-in listens on.
     *
     * @return the TCP port
     */
    public int port() {
        return port;
    }

    /**
     * Returns the entry of this engine in the instance list.
     *
     * @return the instance as JSON
     */
    public ObjectNode toInstanceJson() {
        return Exchange.JSON
                .createObjectNode()
                .put("id", options.id())
                .put("incarnation", incarnation)
                .put("kind", "engine")
                .put("host", options.host())
                .put("port", port())
                .put("domain", options.domain())
                .put("zone", options.zone())
                .put("region", options.region())
                .put("checksFencing", options.checksFencing())
                .put("accelerators", 4);
    }

    private synchronized void getStatus(Exchange exchange) throws IOException {
        ObjectNode status = Exchange.JSON
                .createObjectNode()
                .put("id", options.id())
                .put("incarnation", incarnation)
                .put("readiness", assignment.readiness())
                .put("model", assignment.model())
                .put("leaving", leaving)
                .put("running", running.get());
        if (assignment.group() >= 0) {
            status.put("group", assignment.group());
        }
        exchange.respond(200, status);
    }

    private void leave(Exchange exchange) throws IOException {
        leaving = true;
        exchange.respond(200, Map.of("leaving", true));
    }

    private synchronized void handleOrder(Exchange exchange) throws IOException {
        JsonNode order = exchange.readBody();
        long epoch = order.path("epoch").asLong();
        long counter = order.path("counter").asLong();
        boolean stale = epoch < fencingEpoch || (epoch == fencingEpoch && counter <= fencingCounter);
        if (options.checksFencing() && stale) {
            exchange.respond(409, Map.of("error", "stale fencing number"));
            return;
        }
        fencingEpoch = epoch;
        fencingCounter = counter;
        applyOrder(order);
        exchange.respond(200, Map.of("taken", true));
    }

    private void applyOrder(JsonNode order) {
        if (!order.hasNonNull("group")) {
            assignment = Assignment.NONE;
            return;
        }
        List<String> members = new ArrayList<>();
        order.path("members").forEach(member -> members.add(member.asText()));
        String model = order.path("model").asText();
        boolean holdsWeights =
                assignment.model().equals(model) && assignment.readiness().equals("READY");
        assignment = new Assignment(order.path("group").asLong(), model, "LOADING", members);
        replicaBroken = false;
        Assignment loading = assignment;
        background.execute(() -> load(loading, holdsWeights));
    }

    private void load(Assignment loading, boolean holdsWeights) {
        try {
            if (!holdsWeights && !options.weightsUrl().isEmpty()) {
                get(options.weightsUrl() + "/weights", Duration.ofMinutes(5));
            }
            Thread.sleep(holdsWeights ? options.loadMillis() / 5 : options.loadMillis());
        } catch (IOException | InterruptedException e) {
            return;
        }
        synchronized (this) {
            if (assignment.equals(loading)) {
                assignment = new Assignment(loading.group(), loading.model(), "READY", loading.members());
            }
        }
    }

    private void probeMembersPeriodically() {
        try {
            while (true) {
                Thread.sleep(PROBE_INTERVAL_MILLIS);
                probeMembers();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Probes the other members of the group if this engine is the head of a ready group. The replica is marked as
     * broken once a member has failed {@link #MAX_MISSED_PROBES} probes in a row.
     */
    private void probeMembers() {
        Assignment current;
        synchronized (this) {
            current = assignment;
        }
        boolean ready = current.readiness().equals("READY");
        boolean head = ready && current.members().get(0).equals(options.host() + ':' + port());
        if (!head) {
            missedProbes.clear();
            return;
        }
        for (String member : current.members().subList(1, current.members().size())) {
            if (holdsGroup(member, current.group())) {
                missedProbes.remove(member);
            } else if (missedProbes.merge(member, 1, Integer::sum) >= MAX_MISSED_PROBES) {
                replicaBroken = true;
            }
        }
    }

    private boolean holdsGroup(String address, long group) {
        try {
            Optional<JsonNode> status =
                    get("http://" + address + "/status", Duration.ofMillis(PROBE_INTERVAL_MILLIS * 2L));
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

    private void complete(Exchange exchange) throws IOException, InterruptedException {
        JsonNode request = exchange.readBody();
        long group = request.path("group").asLong();
        boolean ready;
        synchronized (this) {
            ready = assignment.group() == group && assignment.readiness().equals("READY") && !replicaBroken;
        }
        if (!ready || running.incrementAndGet() > options.maxRunning()) {
            if (ready) {
                running.decrementAndGet();
            }
            exchange.respond(409, Map.of("error", "not run", "ready", ready));
            return;
        }
        try {
            generate(exchange, request, group);
        } finally {
            running.decrementAndGet();
        }
    }

    private void generate(Exchange exchange, JsonNode request, long group) throws IOException, InterruptedException {
        String prompt = request.path("prompt").asText();
        if (prompt.contains(CRASH_MARKER)) {
            crash();
        }
        int count = request.path("max_tokens").asInt(16);
        String attempt = request.path("attempt").asText();
        Thread.sleep(cachePrefix(prompt) ? options.firstTokenMillis() / 4 : options.firstTokenMillis());
        try (OutputStream out = exchange.startEventStream()) {
            for (int i = request.path("resume_from").asInt(0); i < count; i++) {
                if (isReplicaBroken(group)) {
                    throw new IOException("the replica is broken");
                }
                Thread.sleep(options.tokenMillis());
                writeEvent(out, Map.of("attempt", attempt, "index", i, "token", expectedToken(prompt, i)));
            }
            writeEvent(out, Map.of("attempt", attempt, "end", true, "count", count));
        }
    }

    private synchronized boolean isReplicaBroken(long group) {
        return replicaBroken || assignment.group() != group;
    }

    /** Adds the prefix of a prompt to the cache and returns whether it was there before. */
    private boolean cachePrefix(String prompt) {
        String prefix = prompt.substring(0, Math.min(prompt.length(), 64));
        synchronized (prefixCache) {
            return prefixCache.put(prefix, true) != null;
        }
    }

    private static void writeEvent(OutputStream out, Map<String, Object> event) throws IOException {
        String line = "data: " + Exchange.JSON.writeValueAsString(event) + "\n\n";
        out.write(line.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    /**
     * Returns the token that every engine generates at a position of the response to a prompt.
     *
     * @param prompt the prompt
     * @param index the position, from 0
     * @return the token
     */
    public static String expectedToken(String prompt, int index) {
        return "w" + Integer.toString(Math.floorMod(prompt.hashCode() * 31 + index * 7919, 46_656), 36) + ' ';
    }

    private void crash() {
        if (options.haltsOnCrash()) {
            Runtime.getRuntime().halt(CRASH_EXIT_STATUS);
        }
        replicaBroken = true;
        close();
        throw new IllegalStateException("crashed");
    }

    @Override
    public void close() {
        background.shutdownNow();
        server.close();
    }
}
