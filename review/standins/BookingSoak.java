package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Bookings that may run once, with one attempt and little time, while runners reject, repeat, lose and delay answers and
 * entries are stopped, ended, killed and told to read their settings. Callers repeat by the rules of the page, some at once.
 * The entries may be of another build. Compares what callers were told with what runners ran.
 */
final class BookingSoak extends Soak {
    private static final int CALLERS = 24;
    private static final int RUNNERS = 3;
    private static final int BUDGET_MILLIS = 600;
    private static final int WAIT_MILLIS = BUDGET_MILLIS + 3_000;
    private static final int STEADY_MILLIS = 1_500;
    private static final int PAUSE_MILLIS = 600;
    private static final int MAX_TROUBLE_MILLIS = 4_000;
    private static final int MIN_SERVED = 300;

    private final String jar;
    private final List<BookingRunner> runners = new ArrayList<>();
    private final Set<Deployment.Entry> killed = ConcurrentHashMap.newKeySet();
    private final Map<String, Outcome> outcomes = new ConcurrentHashMap<>();

    /**
     * What a caller saw of one attempt.
     *
     * @param status the status; 0 if there was no answer
     * @param end how the connection ended if there was no answer
     * @param kept whether the connection had carried a request before
     * @param entry the process that received it
     */
    private record Outcome(int status, String end, boolean kept, Deployment.Entry entry) {}

    private BookingSoak(Deployment deployment, Record record, String jar, long seed) {
        super(deployment, record, new Random(Long.reverse(seed) + seed));
        this.jar = jar;
    }

    /** Arguments: the record, the seed, the seconds of the play, the number of entries, the jar of the entries. */
    public static void main(String[] args) {
        Deployment.run(Path.of(args[0]), (d, record, trouble) -> {
            long seed = Long.parseLong(args[1]);
            int seconds = Integer.parseInt(args[2]);
            int entries = Integer.parseInt(args[3]);
            return new BookingSoak(d, record, args[4], seed).play(seed, seconds, entries, trouble);
        });
    }

    private int play(long seed, int seconds, int entries, boolean trouble) throws Exception {
        BookingRunner.Shape shape = BookingRunner.Shape.draw(seed, random);
        String title = "seed " + seed + ": " + shape;
        record.write(title);
        for (int i = 0; i < RUNNERS; i++) {
            BookingRunner r = new BookingRunner(deployment.store, record, "i-book" + i, shape, seed * 31 + i);
            r.setCuts(cuts);
            r.register();
            runners.add(r);
        }
        configure(7, BUDGET_MILLIS);
        List<Thread> starts = new ArrayList<>();
        for (int i = 0; i < entries; i++) {
            String host = "127.0.0." + (101 + i);
            String name = "entry-" + i;
            starts.add(inBackground(() -> start(name, host, Deployment.freePorts(host))));
        }
        for (Thread t : starts) {
            t.join();
        }
        Thread.sleep(STEADY_MILLIS);
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            callers.add(inBackground(() -> call(n, seed)));
        }
        disturbBeside(callers, seconds, PAUSE_MILLIS, trouble);
        return judge(title);
    }

    private void configure(int version, int timeoutMillis) {
        deployment.configure(
                version,
                route("book", "unsafe", timeoutMillis, 1) + "," + route("read", "safe", timeoutMillis, 2),
                Deployment.service("booking-app"));
    }

    private static String route(String name, String type, int timeoutMillis, int attempts) {
        return Deployment.route("r-" + name, "/" + name + "/", type, timeoutMillis, attempts, "booking-app");
    }

    private void start(String name, String host, int port) throws Exception {
        serving.put(name, deployment.startEntry(name, host, port, Deployment.command(jar)));
    }

    @Override
    void disturb(int number) throws Exception {
        if (random.nextInt(3) > 0) {
            BookingRunner.Trouble[] all = BookingRunner.Trouble.values();
            BookingRunner.Trouble t = all[random.nextInt(all.length)];
            int millis = 200 + random.nextInt(MAX_TROUBLE_MILLIS) / (t.isTotal() ? 5 : 1);
            BookingRunner r = runners.get(random.nextInt(RUNNERS));
            r.begin(t, millis);
            if (t == BookingRunner.Trouble.SHED || t == BookingRunner.Trouble.RENAMED) {
                r.begin(BookingRunner.Trouble.EXTRA, millis);
            }
            return;
        }
        List<Deployment.Entry> all = entries();
        Deployment.Entry e = all.get(random.nextInt(all.size()));
        int millis = 20 + random.nextInt(1_200);
        switch (random.nextInt(12)) {
            case 0 -> inBackground(() -> replace(e, true));
            case 1 -> inBackground(() -> replace(e, false));
            case 2 -> e.signal("HUP");
            case 3 -> configure(8 + number, BUDGET_MILLIS / (1 + random.nextInt(6)));
            case 4, 5, 6 -> {
                record.write("entry " + e.name() + " is cut off from runners for " + 2 * millis + " ms");
                cuts.begin(e.name(), Cuts.Way.HANG_AND_RESET, 2 * millis);
            }
            default -> inBackground(() -> deployment.pause(e, millis));
        }
    }

    private synchronized void replace(Deployment.Entry e, boolean gracefully) throws Exception {
        if (ending || serving.size() < 2 || serving.get(e.name()) != e) {
            return;
        }
        record.write("entry " + e.name() + (gracefully ? " is asked to end" : " is killed"));
        if (gracefully) {
            e.process().destroy();
            Thread.sleep(random.nextInt(300));
            serving.remove(e.name());
        } else {
            killed.add(e);
            serving.remove(e.name());
            e.process().destroyForcibly();
        }
        if (!deployment.awaitEnd(e)) {
            killed.add(e);
        }
        // A cut ends with the process.
        cuts.end(e.name());
        start(e.name(), e.host(), e.port());
    }

    private void call(int n, long seed) throws Exception {
        Random own = new Random(seed * 1_000 + n);
        boolean hasty = own.nextInt(3) == 0;
        Map<Deployment.Entry, Caller> open = new ConcurrentHashMap<>();
        for (int count = 0; !ending; count++) {
            Thread.sleep(own.nextInt(hasty ? 40 : 160));
            boolean booking = own.nextInt(7) < 5;
            String id = (booking ? "b" : "r") + n + "x" + count;
            Outcome o = send(open, own, booking, id + "a0");
            int retries = hasty ? 3 : 1;
            for (int a = 1; a <= retries && mayRepeat(o, booking); a++) {
                Thread.sleep(hasty ? 0 : own.nextInt(100));
                o = send(null, own, booking, id + "a" + a);
            }
        }
        for (Caller c : open.values()) {
            c.close();
        }
    }

    private static boolean mayRepeat(Outcome o, boolean booking) {
        return Caller.PROMISES.contains(o.status()) || (!booking && o.status() != 200) || o.end().equals("no connection");
    }

    /** Sends one attempt, on a kept connection if there are any. */
    private Outcome send(Map<Deployment.Entry, Caller> open, Random own, boolean booking, String id)
            throws IOException {
        List<Deployment.Entry> all = entries();
        Deployment.Entry entry = all.get(own.nextInt(all.size()));
        Caller before = open == null ? null : open.get(entry);
        boolean kept = before != null && before.usable();
        Caller caller;
        try {
            caller = kept ? before : new Caller(entry.host(), entry.callers());
        } catch (IOException e) {
            return new Outcome(0, "no connection", false, entry);
        }
        byte[] body = (booking ? "book " + id + "x".repeat(own.nextInt(1_200)) : "").getBytes(StandardCharsets.UTF_8);
        int wait = own.nextInt(50) == 0 ? 1 + own.nextInt(60) : WAIT_MILLIS;
        Caller.Answer a = caller.call(
                booking ? "POST" : "GET", booking ? "/book/1" : "/read/1", id, body, BUDGET_MILLIS, wait);
        Outcome o = new Outcome(a.status(), a.status() == 0 ? a.text() : "", kept, entry);
        outcomes.put(id, o);
        if (a.status() != 200) {
            record.write("client gets " + a.status() + " " + o.end() + " for " + id + " from " + entry.name());
        }
        if (open == null || a.status() == 0) {
            caller.close();
        } else {
            open.put(entry, caller);
        }
        return o;
    }

    private int judge(String title) throws IOException {
        Map<String, Integer> byStatus = new TreeMap<>();
        int twice = 0;
        int refusedAndRun = 0;
        int unreadAndRun = 0;
        for (Map.Entry<String, Outcome> e : outcomes.entrySet()) {
            Outcome o = e.getValue();
            byStatus.merge(o.status() + (o.status() == 0 ? " " + o.end() : ""), 1, Integer::sum);
            List<String> runs = record.runsOf(e.getKey());
            if (!e.getKey().startsWith("b")) {
                continue;
            }
            if (runs.size() > 1) {
                twice++;
                deployment.recordBroken("TWICE", e.getKey(), "ran at " + runs);
            }
            if (Caller.PROMISES.contains(o.status()) && !runs.isEmpty()) {
                refusedAndRun++;
                deployment.recordBroken("REFUSED", e.getKey(), "was answered " + o.status() + " and ran at " + runs);
            }
            boolean ended = o.status() == 0 && !o.end().contains("Timeout") && !runs.isEmpty();
            if (ended && killed.contains(o.entry())) {
                byStatus.merge("at a killed entry, ran and " + o.end(), 1, Integer::sum);
            } else if (ended) {
                unreadAndRun++;
                String connection = (o.kept() ? "kept" : "new") + " connection: " + o.end();
                deployment.recordBroken("UNREAD", e.getKey(), connection + ", ran " + runs);
            }
        }
        long relayed = 0;
        for (Deployment.Entry e : serving.values()) {
            relayed += e.text().lines().filter(l -> l.contains("\"event\":\"relay\"")).count();
        }
        String line = "requests " + outcomes.size() + ", relayed by entries still there " + relayed + ", by status "
                + byStatus + ", ran twice " + twice + ", refused and run " + refusedAndRun
                + ", closed without an answer and run " + unreadAndRun;
        record.write(line);
        System.out.println(title);
        System.out.println(line);
        if (twice + refusedAndRun + unreadAndRun > 0) {
            return 1;
        }
        return byStatus.getOrDefault("200", 0) < MIN_SERVED ? 2 : 0;
    }
}
