package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Entries of another build are replaced by those of this one, one after the other, and back, beside steady callers and
 * changes of the configuration. Each request has a connection of its own, so each that is sent is owed an answer.
 */
final class SideBySide {
    private static final int ENTRIES = 3;
    private static final int RUNNERS = 3;
    private static final int SLOTS = 8;
    private static final int WORK_MILLIS = 40;
    private static final int BUDGET_MILLIS = 2_500;
    private static final int ATTEMPTS = 2;
    private static final int CALLERS = 16;
    private static final int FIRST_VERSION = 7;
    private static final int FURTHER_ROUTES = 1_400;
    private static final int CONFIGURATION_INTERVAL_MILLIS = 300;
    private static final int STEADY_MILLIS = 1_200;
    private static final int MAX_STOP_SECONDS = 15;
    private static final int MIN_SERVED = 300;
    private static final String THIS_BUILD = "target/baobabspindle.jar";

    private final Deployment deployment;
    private final Record record;
    private final Map<String, Deployment.Entry> serving = new ConcurrentHashMap<>();
    private final Map<String, Integer> statuses = new ConcurrentHashMap<>();
    private final AtomicInteger refusedConnections = new AtomicInteger();
    private volatile boolean ending;

    private SideBySide(Deployment deployment, Record record) {
        this.deployment = deployment;
        this.record = record;
    }

    /** A runner that states a rate limit in each response, if there is one. */
    private static final class LimitedRunner extends ServiceRunner {
        private final String limitHeader;

        LimitedRunner(StoreStandin store, Record record, String id, String limitHeader) throws IOException {
            super(store, record, id, "booking-app", SLOTS, SLOTS, WORK_MILLIS);
            this.limitHeader = limitHeader;
        }

        @Override
        boolean run(Request r, Connection c) throws Exception {
            String request = r.header(PREFIX + "Request-Id");
            record.ran(request, id);
            TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
            byte[] body = ("done " + request).getBytes(StandardCharsets.UTF_8);
            c.respond(200, limitHeader + answerHeaders(request), body);
            return true;
        }
    }

    /** Arguments: the record, the jar of the other build, and optionally the requests per second that runners accept. */
    public static void main(String[] args) throws Exception {
        String limitHeader = args.length > 2 ? "Server-Limit: " + args[2] + "\r\n" : "";
        Deployment.run(Path.of(args[0]), (d, record, trouble) -> new SideBySide(d, record).play(args[1], limitHeader));
    }

    private int play(String otherBuild, String limitHeader) throws Exception {
        for (int i = 0; i < RUNNERS; i++) {
            new LimitedRunner(deployment.store, record, "i-book" + i, limitHeader).register();
        }
        configure(FIRST_VERSION);
        List<Deployment.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            String host = "127.0.0." + (31 + i);
            entries.add(start("entry-" + i, host, Deployment.freePorts(host), otherBuild));
        }
        Thread.sleep(STEADY_MILLIS);
        List<Thread> threads = new ArrayList<>();
        threads.add(new Thread(this::changeConfiguration));
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            threads.add(new Thread(() -> call(n)));
        }
        threads.forEach(Thread::start);
        Thread.sleep(STEADY_MILLIS);
        boolean ended = replaceAll(entries, THIS_BUILD) && replaceAll(entries, otherBuild);
        ending = true;
        for (Thread t : threads) {
            t.join();
        }
        return ended ? judge() : 2;
    }

    private Deployment.Entry start(String name, String host, int port, String jar) throws Exception {
        Deployment.Entry entry = deployment.startEntry(name, host, port, Deployment.command(jar));
        record.write("entry " + name + " runs " + jar);
        serving.put(name, entry);
        return entry;
    }

    /** Replaces the entries one after the other; returns whether all have ended in time. */
    private boolean replaceAll(List<Deployment.Entry> entries, String jar) throws Exception {
        for (int i = 0; i < ENTRIES; i++) {
            Deployment.Entry e = entries.get(i);
            serving.remove(e.name());
            record.write("entry " + e.name() + " is asked to end");
            e.process().destroy();
            if (!e.process().waitFor(MAX_STOP_SECONDS, TimeUnit.SECONDS)) {
                System.out.println(e.name() + " does not end");
                return false;
            }
            entries.set(i, start(e.name(), e.host(), e.port(), jar));
            Thread.sleep(STEADY_MILLIS);
        }
        return true;
    }

    private void changeConfiguration() {
        try {
            for (int version = FIRST_VERSION + 1; !ending; version++) {
                configure(version);
                Thread.sleep(CONFIGURATION_INTERVAL_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes a configuration; every second one has a further route, every third one many that nobody requests. */
    private void configure(int version) {
        List<String> routes = new ArrayList<>(List.of(route("book", "unsafe"), route("read", "safe")));
        if (version % 2 == 0) {
            routes.add(route("more", "safe"));
        }
        for (int i = 0; version % 3 == 0 && i < FURTHER_ROUTES; i++) {
            routes.add(route("further" + i, "safe"));
        }
        deployment.configure(
                version,
                String.join(",", routes),
                Deployment.service("booking-app"));
    }

    private static String route(String name, String type) {
        return Deployment.route("r-" + name, "/" + name + "/", type, BUDGET_MILLIS, ATTEMPTS, "booking-app");
    }

    /** Sends bookings and reads one after the other, with pauses, to entries that are not asked to end. */
    private void call(int n) {
        Random random = new Random(n);
        int count = 0;
        try {
            while (!ending) {
                Thread.sleep(20 + random.nextInt(80));
                List<Deployment.Entry> all = new ArrayList<>(serving.values());
                Deployment.Entry entry = all.get(random.nextInt(all.size()));
                boolean booking = random.nextBoolean();
                send(entry, booking, (booking ? "b" : "r") + n + "x" + count++);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void send(Deployment.Entry entry, boolean booking, String id) {
        Caller.Answer answer;
        try (Caller caller = new Caller(entry.host(), entry.callers())) {
            byte[] body = (booking ? "book " + id : "").getBytes(StandardCharsets.UTF_8);
            String path = booking ? "/book/1" : "/read/1";
            answer = caller.call(booking ? "POST" : "GET", path, id, body, BUDGET_MILLIS, BUDGET_MILLIS + 1_500);
        } catch (IOException e) {
            refusedConnections.incrementAndGet();
            return;
        }
        statuses.put(id, answer.status());
        if (answer.status() != 200) {
            record.write("client gets " + answer.status() + " for " + id + " from " + entry.name() + ": " + answer.text());
        }
    }

    private int judge() {
        Map<Integer, Integer> byStatus = new TreeMap<>();
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, Integer> e : statuses.entrySet()) {
            byStatus.merge(e.getValue(), 1, Integer::sum);
            int runs = record.runsOf(e.getKey()).size();
            twice += e.getKey().startsWith("b") && runs > 1 ? 1 : 0;
            refusedAndRun += Caller.PROMISES.contains(e.getValue()) && runs > 0 ? 1 : 0;
        }
        int unanswered = byStatus.getOrDefault(0, 0);
        String line = "requests " + statuses.size() + ", by status " + byStatus + ", not answered " + unanswered
                + ", ran twice " + twice + ", refused and run " + refusedAndRun + ", connections refused "
                + refusedConnections;
        record.write(line);
        System.out.println(line);
        if (unanswered + twice + refusedAndRun > 0) {
            return 1;
        }
        return byStatus.getOrDefault(200, 0) < MIN_SERVED ? 2 : 0;
    }
}
