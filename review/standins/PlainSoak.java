package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Callers of bookings and reads, beside those of streams, and what is judged of their answers. */
final class PlainSoak {
    static final int BUDGET_MILLIS = 2_500;
    private static final int CALLERS = 24;
    private static final int WAIT_MILLIS = BUDGET_MILLIS + 1_500;
    private static final int MIN_SERVED = 300;

    /** A part of the bookings have a body of this length. */
    private static final int LONG_BODY_BYTES = 100_000;

    /**
     * What a seed determines.
     *
     * @param runners the number of runners
     * @param faulty how many of them spoil answers
     * @param slots the slots of each runner
     * @param shedShare the part of the requests that runners reject though they have room
     * @param spoiledShare the part of their answers that faulty runners spoil
     * @param rejections the statuses of rejections
     * @param identified whether rejections bear the id of the request
     * @param attempts the attempts of both routes
     * @param entries the number of entries
     * @param signals whether entries are stopped, ended and killed
     */
    record Setting(
            int runners,
            int faulty,
            int slots,
            double shedShare,
            double spoiledShare,
            List<Integer> rejections,
            boolean identified,
            int attempts,
            int entries,
            boolean signals) {
        static Setting draw(Random random) {
            int runners = 3 + random.nextInt(2);
            int faulty = 1 + random.nextInt(2);
            boolean identified = random.nextInt(4) == 0 || "1".equals(System.getenv("WITH_IDS"));
            double shedShare = random.nextDouble() * 0.3;
            int slots = 2 + random.nextInt(3);
            double spoiledShare = 0.02 + random.nextDouble() * 0.1;
            int attempts = 1 + random.nextInt(3);
            List<Integer> rejections = random.nextBoolean() ? List.of(503) : List.of(503, 429, 421);
            int entries = 2 + random.nextInt(3);
            boolean signals = random.nextInt(3) > 0;
            return new Setting(
                    runners, faulty, slots, shedShare, spoiledShare, rejections, identified, attempts, entries, signals);
        }

        FaultyRunner.Habits habits(int runner, boolean trouble) {
            double spoils = trouble && runner < faulty ? spoiledShare : 0;
            return new FaultyRunner.Habits(spoils, shedShare, identified, rejections);
        }
    }

    private final Deployment deployment;
    private final Record record;
    private final Surroundings surroundings;
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final Map<String, String> retries = new ConcurrentHashMap<>();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    PlainSoak(Deployment deployment, Record record, Surroundings surroundings) {
        this.deployment = deployment;
        this.record = record;
        this.surroundings = surroundings;
    }

    List<Thread> callers(long seed) {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            threads.add(new Thread(() -> call(n, new Random(seed * 1_000 + n))));
        }
        return threads;
    }

    /** Sends bookings and reads, one after the other and in rushes, on connections that are kept as long as they last. */
    private void call(int n, Random own) {
        Map<String, OpenCaller> connections = new TreeMap<>();
        int count = 0;
        try {
            while (!surroundings.ending()) {
                Thread.sleep(own.nextInt(3) == 0 ? own.nextInt(300) : own.nextInt(30));
                Deployment.Entry entry = surroundings.entry(n, own);
                boolean booking = own.nextInt(4) > 0;
                boolean leaves = own.nextInt(50) == 0;
                String id = (booking ? "b" : "r") + n + "x" + count++;
                int length = booking && own.nextInt(20) == 0 ? LONG_BODY_BYTES : 0;
                Caller.Answer a = send(
                        connections, entry, booking, leaves ? 1 + own.nextInt(60) : WAIT_MILLIS, id, length);
                if (a != null && mayRetry(a, booking)) {
                    Thread.sleep(own.nextInt(100));
                    retries.put(id, id + "t");
                    Map<String, OpenCaller> another = new TreeMap<>();
                    send(another, surroundings.entry(n, own), booking, WAIT_MILLIS, id + "t", length);
                    another.values().forEach(c -> close(c.caller()));
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        connections.values().forEach(c -> close(c.caller()));
    }

    private static void close(Caller c) {
        try {
            c.close();
        } catch (IOException e) {
            System.out.println("a connection of a caller cannot be closed: " + e);
        }
    }

    /** Returns whether a client tries again, on a new connection and with a new id. */
    private static boolean mayRetry(Caller.Answer a, boolean booking) {
        boolean unread = a.status() == 0 && a.text().contains("reset");
        return Caller.PROMISES.contains(a.status()) || unread || !booking && (a.status() == 0 || a.status() >= 500);
    }

    /** A connection of a caller and when it was opened, in seconds. */
    private record OpenCaller(Caller caller, double openedAt) {}

    /** Sends a request; returns its answer, or null if there is no connection. */
    private Caller.Answer send(
            Map<String, OpenCaller> connections,
            Deployment.Entry entry,
            boolean booking,
            int waitMillis,
            String id,
            int length)
            throws InterruptedException {
        OpenCaller caller = connections.get(entry.name());
        try {
            if (caller == null || !caller.caller().usable()) {
                OpenCaller before = caller;
                caller = new OpenCaller(new Caller(entry.host(), entry.callers()), record.seconds());
                connections.put(entry.name(), caller);
                if (before != null) {
                    close(before.caller());
                }
            }
        } catch (IOException e) {
            Thread.sleep(20);
            return null;
        }
        double sentAt = record.seconds();
        Caller.Answer a = caller.caller().call(
                booking ? "POST" : "GET",
                (booking ? "/book/" : "/read/") + "1",
                id,
                (booking ? FaultyRunner.body(id, length) : "").getBytes(StandardCharsets.UTF_8),
                BUDGET_MILLIS,
                waitMillis);
        statuses.put(id, a.status());
        if (a.status() == 0) {
            close(caller.caller());
        }
        if (a.status() == 200 && !a.text().equals("done " + id)) {
            foreign.incrementAndGet();
            record.write("FOREIGN: " + id + " gets " + a.text());
        }
        boolean owed = surroundings.owesAnswer(entry, sentAt, caller.openedAt());
        if (a.status() == 0 && waitMillis == WAIT_MILLIS && owed) {
            unanswered.incrementAndGet();
            record.write("UNANSWERED: " + id + " at " + entry.name() + " after " + a.seconds() + " s: " + a.text());
        }
        if (a.status() != 200) {
            record.write("client gets " + a.status() + " for " + id + " from " + entry.name());
        }
        return a;
    }

    /** Compares what callers were told with what runners ran; returns the exit status. */
    int judge(String title, List<FaultyRunner> runners) throws IOException {
        Map<Integer, Integer> byStatus = new TreeMap<>();
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, Integer> e : statuses.entrySet()) {
            byStatus.merge(e.getValue(), 1, Integer::sum);
            List<String> runs = record.runsOf(e.getKey());
            boolean booking = e.getKey().startsWith("b");
            if (booking && runs.size() > 1) {
                twice++;
                deployment.recordBroken("TWICE", e.getKey(), "ran at " + runs);
            }
            if (booking && Caller.PROMISES.contains(e.getValue()) && !runs.isEmpty()) {
                refusedAndRun++;
                deployment.recordBroken("REFUSED", e.getKey(), "was answered " + e.getValue() + " and ran at " + runs);
            }
        }
        Map<FaultyRunner.Spoiling, Integer> spoiled = new EnumMap<>(FaultyRunner.Spoiling.class);
        runners.forEach(r -> r.spoiled().forEach((way, n) -> spoiled.merge(way, n, Integer::sum)));
        int wrongBodies = runners.stream().mapToInt(FaultyRunner::wrongBodies).sum();
        int early = runners.stream().mapToInt(FaultyRunner::early).sum();
        long repeated = retries.entrySet().stream()
                .filter(e -> e.getKey().startsWith("b"))
                .filter(e -> !record.runsOf(e.getKey()).isEmpty() && !record.runsOf(e.getValue()).isEmpty())
                .count();
        String line = "requests " + statuses.size() + ", by status " + byStatus + ", spoiled " + spoiled + ", ran twice "
                + twice + ", refused and run " + refusedAndRun + ", foreign " + foreign + ", unanswered " + unanswered
                + ", wrong bodies " + wrongBodies
                + ", answered before the body was read " + early + ", retries " + retries.size()
                + ", bookings that ran in two attempts " + repeated;
        record.write(line);
        System.out.println(title);
        System.out.println(line);
        if (twice + refusedAndRun + foreign.get() + unanswered.get() + wrongBodies > 0) {
            return 1;
        }
        return byStatus.getOrDefault(200, 0) < MIN_SERVED ? 2 : 0;
    }
}
