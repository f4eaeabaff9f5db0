package org.baobabspindle.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Queue;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.baobabspindle.core.fleet.AccountPolicy;
import org.baobabspindle.core.fleet.BackendServer;
import org.baobabspindle.core.fleet.CallerLimits;
import org.baobabspindle.core.fleet.EngineModel;
import org.baobabspindle.core.fleet.EngineProfile;
import org.baobabspindle.core.fleet.FleetConfiguration;
import org.baobabspindle.core.fleet.FleetService;
import org.baobabspindle.core.fleet.GroupKey;
import org.baobabspindle.core.fleet.GroupMembership;
import org.baobabspindle.core.fleet.MemberState;
import org.baobabspindle.core.fleet.Route;
import org.baobabspindle.core.fleet.RouteKind;
import org.baobabspindle.core.fleet.ServerState;
import org.baobabspindle.core.fleet.WeightedService;
import org.baobabspindle.core.id.ClientAccountId;
import org.baobabspindle.port.Feed;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that each request that was read gets a complete response or a true refusal in time while the configuration
 * changes, servers fall silent or leave, and the store fails for a moment. The seed and the duration are set by the
 * system properties {@code configuration.seed} and {@code configuration.seconds}.
 */
class ConfigurationChangeTests extends GatewayTestSupport {
    private static final long SEED = Long.getLong("configuration.seed", 1);
    private static final Duration DURATION = Duration.ofSeconds(Integer.getInteger("configuration.seconds", 12));
    private static final int CALLERS = 14;

    private static final Duration MIN_TIMEOUT = Duration.ofMillis(500);
    private static final Duration MAX_TIMEOUT = Duration.ofMillis(1_500);

    /** How much later than its timeout a request may be answered. */
    private static final Duration ANSWER_SLACK = Duration.ofMillis(500);

    /** How much earlier than its timeout, as the caller measures it, a request may time out. */
    private static final Duration CLOCK_SLACK = Duration.ofMillis(20);

    /** The time for which requests are sent before they are checked; a runtime that has just started is slow. */
    private static final Duration WARM_UP = Duration.ofSeconds(3);

    private static final Duration PAUSE_CHECK_INTERVAL = Duration.ofMillis(10);
    private static final Duration SILENCE = Duration.ofSeconds(1);
    private static final int EVENTS = 5;
    private static final int LONG_BODY_BYTES = 2_000;
    private static final int SMALL_BODY_LIMIT = 500;

    /** The statuses that state that the request has not run and never will. */
    private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final Set<String> brokenOff = ConcurrentHashMap.newKeySet();
    private final Set<String> refusedOnce = ConcurrentHashMap.newKeySet();
    private final Queue<String> violations = new ConcurrentLinkedQueue<>();
    private final Queue<Sent> refusedAsNotRun = new ConcurrentLinkedQueue<>();
    private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
    private final AtomicInteger ids = new AtomicInteger();
    private final AtomicLong pausedNanos = new AtomicLong();
    private volatile long recordFrom;

    /** What a backend server does with a request, as the request itself states. */
    private enum Plan {
        ANSWER(60),
        ANSWER_LATE(18),
        FALL_SILENT(8),
        BREAK_OFF(7),
        REFUSE_FIRST(5),
        NEVER_ANSWER(2);

        private final int percent;

        Plan(int percent) {
            this.percent = percent;
        }

        static Plan choose(Random random) {
            int rest = random.nextInt(100);
            for (Plan p : values()) {
                rest -= p.percent;
                if (rest < 0) {
                    return p;
                }
            }
            throw new IllegalStateException("the shares of the plans are less than 100 percent");
        }
    }

    /** The paths that callers request. */
    private enum Target {
        SAFE("/safe/", false, false),
        UNSAFE("/unsafe/", false, true),
        RESUMABLE("/stream/", true, false),
        ONCE("/once/", true, true),
        PUBLIC("/public/", false, false),
        MOVED("/moved/", false, true),
        /** Plain and streaming in turn. */
        CHANGING_KIND("/changing/", true, false),
        ENGINES("/engines/", true, true);

        private final String prefix;
        private final boolean events;
        private final boolean once;

        Target(String prefix, boolean events, boolean once) {
            this.prefix = prefix;
            this.events = events;
            this.once = once;
        }

        /** Returns whether every version has the route. */
        boolean permanent() {
            return this != MOVED && this != CHANGING_KIND;
        }
    }

    /** A request that was sent. */
    private record Sent(String id, Target target, Plan plan, String key, String body, boolean slow) {
        /** Returns whether some version of the configuration denies the request. */
        boolean mayBeDenied(int status) {
            return switch (status) {
                case 404 -> !target.permanent();
                case 401 -> key.equals("t-key") && target != Target.PUBLIC;
                case 413 -> body.length() > SMALL_BODY_LIMIT;
                default -> false;
            };
        }
    }

    /** The parts of the configuration that change. */
    private static final class Draft {
        private final RandomGenerator random;
        private final Map<Target, Duration> timeouts = new HashMap<>();
        private long version = 1;
        private boolean routesRemoved;
        private String movedTo = "desk";
        private RouteKind changingKind = RouteKind.SAFE;
        private int attempts = 2;
        private int priority = 1;
        private int maxBodyBytes = 1_000_000;
        private Duration limit = Duration.ofSeconds(5);
        private boolean keyRemoved;
        private boolean serviceRemoved;
        private int groupSize = 2;
        private double pace = 1;
        private boolean modelRemoved;
        private boolean manyRoutes;

        Draft(RandomGenerator random) {
            this.random = random;
        }

        FleetConfiguration next() {
            version += 1 + random.nextInt(7);
            List<Route> routes = new ArrayList<>();
            for (Target t : Target.values()) {
                if (t.permanent() || !routesRemoved) {
                    routes.add(route(t));
                }
            }
            for (int i = 0; manyRoutes && i < 200; i++) {
                routes.add(route("later" + i, "/later/" + i + "/", RouteKind.SAFE, MAX_TIMEOUT, "desk", false));
            }
            List<FleetService> services = new ArrayList<>();
            services.add(new FleetService("desk", 100, "/health", Optional.empty()));
            services.add(new FleetService("pool", 100, "/health", Optional.of(profile())));
            if (!serviceRemoved) {
                services.add(new FleetService("till", 100, "/health", Optional.empty()));
            }
            Map<String, AccountPolicy> keys = new HashMap<>();
            keys.put("a-key", new AccountPolicy(ClientAccountId.of("acme"), OptionalInt.empty()));
            if (!keyRemoved) {
                keys.put("t-key", new AccountPolicy(ClientAccountId.of("temporary"), OptionalInt.of(priority)));
            }
            return new FleetConfiguration(
                    version,
                    routes,
                    services,
                    keys,
                    true,
                    new CallerLimits(MAX_HEADER_BYTES, maxBodyBytes, limit, limit));
        }

        private EngineProfile profile() {
            EngineModel model = new EngineModel(
                    modelRemoved ? "other" : "small",
                    groupSize,
                    pace,
                    1,
                    Duration.ofSeconds(12),
                    Duration.ofSeconds(1));
            return new EngineProfile(6, 7.8, 0.134, 45_900, 5, 5, 7, Duration.ofMillis(300), List.of(model));
        }

        private Route route(Target t) {
            RouteKind kind =
                    switch (t) {
                        case SAFE, PUBLIC -> RouteKind.SAFE;
                        case UNSAFE, MOVED -> RouteKind.UNSAFE;
                        case RESUMABLE, ONCE, ENGINES -> RouteKind.STREAM;
                        case CHANGING_KIND -> changingKind;
                    };
            String service = t == Target.MOVED ? movedTo : t == Target.ENGINES ? "pool" : "desk";
            return route(
                    t.name(),
                    t.prefix,
                    kind,
                    timeouts.getOrDefault(t, MAX_TIMEOUT),
                    service,
                    t == Target.RESUMABLE || t == Target.CHANGING_KIND);
        }

        private Route route(
                String name, String prefix, RouteKind kind, Duration timeout, String service, boolean resumable) {
            return new Route(
                    name,
                    "127.0.0.1",
                    prefix,
                    kind,
                    resumable,
                    prefix.equals(Target.PUBLIC.prefix),
                    timeout,
                    Duration.ofMillis(400),
                    Duration.ZERO,
                    priority,
                    attempts,
                    List.of(new WeightedService(service, 1)));
        }
    }

    /** What the operator changes in a version. */
    private enum Change {
        ROUTES {
            @Override
            void apply(Draft d) {
                d.routesRemoved = !d.routesRemoved && d.random.nextBoolean();
            }
        },
        SERVICE_OF_ROUTE {
            @Override
            void apply(Draft d) {
                d.movedTo = List.of("desk", "till", "nowhere").get(d.random.nextInt(3));
            }
        },
        TIMEOUT {
            @Override
            void apply(Draft d) {
                long millis = d.random.nextLong(MIN_TIMEOUT.toMillis(), MAX_TIMEOUT.toMillis() + 1);
                d.timeouts.put(Target.values()[d.random.nextInt(Target.values().length)], Duration.ofMillis(millis));
            }
        },
        ATTEMPTS {
            @Override
            void apply(Draft d) {
                d.attempts = 1 + d.random.nextInt(3);
            }
        },
        KIND {
            @Override
            void apply(Draft d) {
                d.changingKind = RouteKind.values()[d.random.nextInt(RouteKind.values().length)];
            }
        },
        LIMITS {
            @Override
            void apply(Draft d) {
                d.maxBodyBytes = d.random.nextInt(4) == 0 ? SMALL_BODY_LIMIT : 1_000_000;
                d.limit = Duration.ofMillis(d.random.nextBoolean() ? 50 : 5_000);
            }
        },
        KEYS {
            @Override
            void apply(Draft d) {
                d.keyRemoved = !d.keyRemoved && d.random.nextBoolean();
            }
        },
        PRIORITY {
            @Override
            void apply(Draft d) {
                d.priority = d.random.nextInt(5);
            }
        },
        SERVICES {
            @Override
            void apply(Draft d) {
                d.serviceRemoved = !d.serviceRemoved;
            }
        },
        MODELS {
            @Override
            void apply(Draft d) {
                d.groupSize = d.random.nextInt(10) == 0 ? 3 : 2;
                d.pace = 1 + d.random.nextInt(2);
                d.modelRemoved = d.random.nextInt(4) == 0;
            }
        },
        MANY_ROUTES {
            @Override
            void apply(Draft d) {
                d.manyRoutes = !d.manyRoutes;
            }
        };

        abstract void apply(Draft d);
    }

    @Test
    @Timeout(900)
    void requestsAreAnsweredWhileTheConfigurationChanges() throws Exception {
        Draft draft = new Draft(new Random(SEED));
        List<BackendServer> servers = startServers(draft.next());
        recordFrom = System.nanoTime() + WARM_UP.toNanos();
        long end = recordFrom + DURATION.toNanos();
        Thread pauses = new Thread(() -> measurePauses(end), "pauses");
        pauses.setDaemon(true);
        pauses.start();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            Random random = new Random(SEED * 1_000 + i);
            Thread t = new Thread(() -> call(random, end), "caller");
            t.setDaemon(true);
            t.start();
            callers.add(t);
        }
        Thread.sleep(WARM_UP.toMillis());
        changeUntil(end, draft, servers);
        for (Thread t : callers) {
            t.join();
        }
        refusedAsNotRun.forEach(this::checkNotRun);
        System.out.println("seed " + SEED + ", version " + draft.version + ": " + outcomes);
        assertWithMessage("seed %s", SEED).that(violations).isEmpty();
        assertThat(outcomes.get("200").get())
                .isAtLeast(
                        outcomes.values().stream().mapToInt(AtomicInteger::get).sum() / 3);
    }

    private List<BackendServer> startServers(FleetConfiguration configuration) throws Exception {
        List<BackendServer> servers = new ArrayList<>();
        for (int i = 1; i <= 5; i++) {
            RawBackend b = new RawBackend(this::serve);
            backends.add(b);
            servers.add(ofService(server("b" + i, b.port()), i <= 3 ? "desk" : "till"));
        }
        RawBackend head = new RawBackend(this::serve);
        backends.add(head);
        GroupKey key = new GroupKey("g-d1", 1);
        GroupMembership first = new GroupMembership(key, 0, MemberState.OPEN);
        GroupMembership second = new GroupMembership(key, 1, MemberState.READY);
        servers.add(EngineGroupTestSupport.engine("head", head.port(), "d1", 1, Optional.of(first)));
        servers.add(EngineGroupTestSupport.engine("other", head.port(), "d1", 1, Optional.of(second)));
        platform = new FakePlatform(configuration, servers);
        node = GatewayNode.open(platform);
        await(() -> status(platform.readinessUrl()) == 200);
        return servers;
    }

    private static BackendServer ofService(BackendServer s, String service) {
        return new BackendServer(
                s.id(),
                service,
                s.host(),
                s.port(),
                s.zone(),
                s.state(),
                s.slots(),
                s.bornMillis(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty());
    }

    private static BackendServer withState(BackendServer s, ServerState state) {
        return new BackendServer(
                s.id(),
                s.service(),
                s.host(),
                s.port(),
                s.zone(),
                state,
                s.slots(),
                s.bornMillis(),
                s.domain(),
                s.model(),
                s.staged(),
                s.group());
    }

    private void changeUntil(long end, Draft draft, List<BackendServer> servers) throws Exception {
        RandomGenerator random = draft.random;
        FleetConfiguration older = draft.next();
        while (System.nanoTime() < end) {
            int action = random.nextInt(100);
            if (action < 60) {
                platform.publish(List.of(nextVersion(draft)));
            } else if (action < 70) {
                List<FleetConfiguration> burst = new ArrayList<>();
                for (int i = 0; i < 5; i++) {
                    burst.add(nextVersion(draft));
                }
                platform.publish(burst);
            } else if (action < 76) {
                platform.publish(List.of(older));
                older = nextVersion(draft);
            } else if (action < 82) {
                platform.publishMalformedConfiguration();
            } else if (action < 88) {
                platform.failReads(random.nextBoolean() ? Feed.CONFIGURATION : Feed.BACKEND_SERVERS, true);
            } else {
                BackendServer s = servers.get(1 + random.nextInt(4));
                platform.relist(withState(s, ServerState.DRAINING));
                Thread.sleep(random.nextInt(100));
                platform.unlist(s.id().value());
                Thread.sleep(random.nextInt(100));
                platform.relist(s);
            }
            Thread.sleep(20 + random.nextInt(150));
            platform.failReads(Feed.CONFIGURATION, false);
            platform.failReads(Feed.BACKEND_SERVERS, false);
        }
    }

    /** Measures for how long the machine does not run this process, which does not count as delay of an answer. */
    private void measurePauses(long end) {
        try {
            while (System.nanoTime() < end + MAX_TIMEOUT.multipliedBy(3).toNanos()) {
                long startedAt = System.nanoTime();
                Thread.sleep(PAUSE_CHECK_INTERVAL.toMillis());
                pausedNanos.addAndGet(System.nanoTime() - startedAt - PAUSE_CHECK_INTERVAL.toNanos());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static FleetConfiguration nextVersion(Draft d) {
        Change.values()[d.random.nextInt(Change.values().length)].apply(d);
        return d.next();
    }

    private void serve(String request, OutputStream out, Socket socket) throws IOException, InterruptedException {
        String id = RawBackend.header(request, "Id");
        Plan plan = Plan.valueOf(RawBackend.header(request, "Plan"));
        if (plan == Plan.REFUSE_FIRST && refusedOnce.add(id)) {
            RawBackend.write(out, "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
            return;
        }
        runs.computeIfAbsent(id, i -> new AtomicInteger()).incrementAndGet();
        String body = request.substring(request.indexOf("\r\n\r\n") + 4);
        String last = RawBackend.header(request, "Last-Event-Id");
        if (plan == Plan.NEVER_ANSWER) {
            RawBackend.awaitClose(socket);
        }
        if (plan == Plan.ANSWER_LATE) {
            Thread.sleep(300);
        }
        if (!RawBackend.header(request, "Events").isEmpty()) {
            serveEvents(id, plan, last, body, out, socket);
            return;
        }
        if (plan == Plan.FALL_SILENT) {
            Thread.sleep(SILENCE.toMillis());
        }
        String answer = plain(request, answer(id, body));
        if (plan == Plan.BREAK_OFF) {
            brokenOff.add(id);
            RawBackend.write(out, answer.substring(0, answer.length() - 2));
            RawBackend.reset(socket);
            return;
        }
        RawBackend.write(out, answer);
    }

    private void serveEvents(String id, Plan plan, String last, String body, OutputStream out, Socket socket)
            throws IOException, InterruptedException {
        RawBackend.write(out, String.format(EVENTS_HEAD, id));
        int first = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        for (int i = first; i <= EVENTS; i++) {
            if (i == 3 && first == 1 && plan == Plan.FALL_SILENT) {
                Thread.sleep(SILENCE.toMillis());
            }
            if (i == 3 && first == 1 && plan == Plan.BREAK_OFF) {
                brokenOff.add(id);
                RawBackend.write(out, "5\r\nid: ");
                RawBackend.reset(socket);
                return;
            }
            RawBackend.write(out, chunk(eventOf(id, i, body)));
            Thread.sleep(10);
        }
        RawBackend.write(out, "0\r\n\r\n");
    }

    private static String answer(String id, String body) {
        return id + " " + body.length() + " " + body.hashCode();
    }

    private static String eventOf(String id, int event, String body) {
        return "id: " + event + "\ndata: " + answer(id, body) + "\n\n";
    }

    private static String events(String id, String body) {
        StringBuilder result = new StringBuilder();
        for (int i = 1; i <= EVENTS; i++) {
            result.append(eventOf(id, i, body));
        }
        return result.toString();
    }

    private void call(Random random, long end) {
        Optional<RawCaller> connection = Optional.empty();
        try {
            while (System.nanoTime() < end) {
                if (connection.isEmpty()) {
                    connection = Optional.of(new RawCaller(
                            platform.callerPort(), MAX_TIMEOUT.multipliedBy(2).plus(ANSWER_SLACK)));
                }
                boolean keep = exchange(connection.get(), random);
                if (!keep || random.nextInt(4) == 0) {
                    connection.get().close();
                    connection = Optional.empty();
                }
                Thread.sleep(random.nextInt(60));
            }
        } catch (IOException | InterruptedException | RuntimeException e) {
            violations.add("caller failed: " + e);
        }
    }

    /** Sends one request, or two in a row, and checks the responses; returns whether the connection stays open. */
    private boolean exchange(RawCaller connection, Random random) throws IOException, InterruptedException {
        Sent first = newRequest(random);
        long sentAt = System.nanoTime();
        send(connection, first, random);
        Optional<Sent> second = random.nextInt(5) == 0 ? Optional.of(newRequest(random)) : Optional.empty();
        boolean closedWhileSending = second.isPresent() && !trySend(connection, second.get(), random);
        boolean open = check(first, sentAt, connection);
        if (closedWhileSending && open) {
            violations.add("closed after a complete response to " + first + ", while " + second + " was sent");
        }
        if (closedWhileSending || !open || second.isEmpty()) {
            return open && !closedWhileSending;
        }
        return check(second.get(), System.nanoTime(), connection);
    }

    /** Sends the second of two requests; returns false if the connection was closed, as when the first response is cut off. */
    private static boolean trySend(RawCaller connection, Sent r, Random random) throws InterruptedException {
        try {
            send(connection, r, random);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Sent newRequest(Random random) {
        Target target = Target.values()[random.nextInt(Target.values().length)];
        int length = random.nextInt(3) == 0 ? LONG_BODY_BYTES : random.nextInt(40);
        StringBuilder body = new StringBuilder();
        for (int i = 0; i < length; i++) {
            body.append((char) ('a' + random.nextInt(26)));
        }
        String key = target == Target.PUBLIC ? "" : random.nextInt(3) == 0 ? "t-key" : "a-key";
        return new Sent(
                "r" + ids.incrementAndGet(),
                target,
                Plan.choose(random),
                key,
                body.toString(),
                length > 0 && random.nextInt(6) == 0);
    }

    private static void send(RawCaller connection, Sent r, Random random) throws IOException, InterruptedException {
        boolean chunked = random.nextBoolean();
        String head = "POST " + r.target().prefix + "x HTTP/1.1\r\nHost: 127.0.0.1\r\nId: " + r.id() + "\r\nPlan: "
                + r.plan() + "\r\n"
                + (r.key().isEmpty() ? "" : "Key: " + r.key() + "\r\n")
                + (r.target().events ? "Events: 1\r\n" : "")
                + (r.target() == Target.ENGINES ? "Model: small\r\n" : "")
                + (chunked
                        ? "Transfer-Encoding: chunked\r\n\r\n"
                        : "Content-Length: " + r.body().length() + "\r\n\r\n");
        int half = r.body().length() / 2;
        String first = r.body().substring(0, half);
        String rest = r.body().substring(half);
        if (chunked) {
            first = first.isEmpty() ? "" : chunk(first);
            rest = (rest.isEmpty() ? "" : chunk(rest)) + "0\r\n\r\n";
        }
        if (r.slow()) {
            connection.send(head + first);
            Thread.sleep(random.nextInt(300));
            connection.send(rest);
        } else {
            connection.send(head + first + rest);
        }
    }

    /**
     * Reads and checks the response to a request that was sent whole; returns whether the connection stays open.
     *
     * @param sentAt when its first byte was sent and the request before it was answered
     */
    private boolean check(Sent r, long sentAt, RawCaller connection) {
        long wholeAt = System.nanoTime();
        long pausedBefore = pausedNanos.get();
        RawCaller.Answer a = connection.read();
        boolean open = a.end() == RawCaller.End.COMPLETE
                && !RawBackend.header(a.head(), "Connection").equals("close");
        if (sentAt < recordFrom) {
            return open;
        }
        Duration elapsed = Duration.ofNanos(System.nanoTime() - sentAt);
        long waitedNanos = System.nanoTime() - wholeAt - (pausedNanos.get() - pausedBefore);
        if (waitedNanos > MAX_TIMEOUT.plus(ANSWER_SLACK).toNanos()) {
            violation(r, a, elapsed, "late");
        }
        check(r, a, elapsed);
        return open;
    }

    private void check(Sent r, RawCaller.Answer a, Duration elapsed) {
        boolean timedOut = elapsed.compareTo(MIN_TIMEOUT.minus(CLOCK_SLACK)) >= 0;
        outcomes.computeIfAbsent(
                        a.end() == RawCaller.End.COMPLETE
                                ? String.valueOf(a.status())
                                : a.end().name(),
                        s -> new AtomicInteger())
                .incrementAndGet();
        if (a.end() == RawCaller.End.SILENT) {
            violation(r, a, elapsed, "no answer");
        } else if (a.end() == RawCaller.End.CLOSED) {
            expect(a.status() == 200 && r.target().events && (timedOut || brokenOff.contains(r.id())), r, a, elapsed);
        } else if (a.status() == 200) {
            String expected = r.target().events ? events(r.id(), r.body()) : answer(r.id(), r.body());
            expect(
                    a.body().equals(expected)
                            && RawBackend.header(a.head(), "Id").equals(r.id()),
                    r,
                    a,
                    elapsed);
        } else if (NOT_RUN_STATUSES.contains(a.status())) {
            refusedAsNotRun.add(r);
            checkNotRun(r);
        } else if (a.status() == 502) {
            expect(brokenOff.contains(r.id()), r, a, elapsed);
        } else if (a.status() == 504) {
            expect(timedOut, r, a, elapsed);
        } else {
            expect(r.mayBeDenied(a.status()), r, a, elapsed);
        }
        if (r.target().once && runsOf(r) > 1) {
            violation(r, a, elapsed, "ran " + runsOf(r) + " times");
        }
    }

    private int runsOf(Sent r) {
        return Optional.ofNullable(runs.get(r.id())).map(AtomicInteger::get).orElse(0);
    }

    private void checkNotRun(Sent r) {
        if (runsOf(r) > 0) {
            violations.add(r.id() + " " + r.target() + " was refused as not run but ran");
        }
    }

    private void expect(boolean condition, Sent r, RawCaller.Answer a, Duration elapsed) {
        if (!condition) {
            violation(r, a, elapsed, "unexpected");
        }
    }

    private void violation(Sent r, RawCaller.Answer a, Duration elapsed, String reason) {
        violations.add(reason + " after " + elapsed.toMillis() + " ms: " + r.id() + " " + r.target() + " " + r.plan()
                + " " + r.key()
                + " " + r.body().length() + " slow=" + r.slow() + " runs=" + runsOf(r) + " brokenOff="
                + brokenOff.contains(r.id()) + " -> " + a);
    }
}
