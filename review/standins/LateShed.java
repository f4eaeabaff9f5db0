package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;

/**
 * Bookings while one of three runners sends a few of its answers a second time, late. A full runner sheds with the
 * response that the wire examples show; its late copy arrives where the answer to the next request is expected.
 */
final class LateShed {
    private static final int ENTRIES = 3;
    private static final int RUNNERS = 3;
    private static final int GARBLED_RUNNERS = 1;
    private static final int SLOTS = 2;
    private static final int QUEUE = 1;
    private static final int WORK_MILLIS = 43;
    private static final int BUDGET_MILLIS = 2_500;
    private static final int CALLERS = 24;
    private static final int PLAY_SECONDS = 40;
    private static final int MIN_SERVED = 300;

    /** The part of its answers that the runner sends twice while the impairment lasts. */
    private static final double EXTRA_SHARE = 0.03;

    /** The seconds of the play at which the impairment begins. */
    private static final List<Integer> IMPAIRED_FROM = List.of(5, 15, 25);

    private static final int IMPAIRED_SECONDS = 5;

    private LateShed() {}

    /** A runner that sends a late copy of some of its 503 answers. */
    private static final class GarbledRunner extends ServiceRunner {
        private final Map<Connection, byte[]> extras = new ConcurrentHashMap<>();
        private final AtomicInteger copies;
        private final BooleanSupplier impaired;
        private int answers;
        private int taken;

        GarbledRunner(
                StoreStandin store, Record record, String id, AtomicInteger copies, BooleanSupplier impaired)
                throws IOException {
            super(store, record, id, "booking-app", SLOTS, QUEUE, WORK_MILLIS);
            this.copies = copies;
            this.impaired = impaired;
        }

        /** Counts an answer that is given during the impairment. */
        private synchronized void answering() {
            answers += impaired.getAsBoolean() ? 1 : 0;
        }

        private synchronized boolean takeExtra() {
            if (!impaired.getAsBoolean() || taken + 1 > answers * EXTRA_SHARE) {
                return false;
            }
            taken++;
            return true;
        }

        @Override
        boolean shed(Request r, Connection c) throws Exception {
            answering();
            if (takeExtra()) {
                record.write("runner " + id + " will send its answer to " + r.header(PREFIX + "Request-Id")
                        + " once more, late");
                extras.put(c, response(503, PREFIX + "Not-Executed: 1\r\n", new byte[0]));
            }
            return super.shed(r, c);
        }

        @Override
        boolean run(Request r, Connection c) throws Exception {
            answering();
            byte[] extra = extras.remove(c);
            if (extra != null) {
                copies.incrementAndGet();
                record.write("runner " + id + " sends the late copy; on this connection waits "
                        + r.header(PREFIX + "Request-Id"));
                c.out.write(extra);
                c.out.flush();
            }
            return super.run(r, c);
        }
    }

    public static void main(String[] args) throws Exception {
        Deployment.run(Path.of(args[0]), LateShed::play);
    }

    private static int play(Deployment d, Record record, boolean trouble) throws Exception {
        AtomicInteger copies = new AtomicInteger();
        AtomicReference<Double> playFrom = new AtomicReference<>(Double.MAX_VALUE);
        BooleanSupplier impaired = () -> {
            double at = record.seconds() - playFrom.get();
            return IMPAIRED_FROM.stream().anyMatch(from -> at >= from && at < from + IMPAIRED_SECONDS);
        };
        for (int i = 0; i < RUNNERS; i++) {
            String id = "i-book" + i;
            ServiceRunner runner = trouble && i < GARBLED_RUNNERS
                    ? new GarbledRunner(d.store, record, id, copies, impaired)
                    : new ServiceRunner(d.store, record, id, "booking-app", SLOTS, QUEUE, WORK_MILLIS);
            runner.register();
        }
        d.configure(
                7,
                Deployment.route("r-book", "/book/", "unsafe", BUDGET_MILLIS, 2, "booking-app"),
                Deployment.service("booking-app"));
        List<Deployment.Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(d.startEntry("entry-" + i));
        }
        Thread.sleep(3_000);
        playFrom.set(record.seconds());
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            int n = i;
            Thread t = new Thread(() -> call(n, entries.get(n % ENTRIES), record, statuses));
            t.start();
            threads.add(t);
        }
        for (Thread t : threads) {
            t.join();
        }
        return judge(record, statuses, copies.get(), trouble);
    }

    /** Sends bookings one after the other, with pauses, on a kept connection. */
    private static void call(int n, Deployment.Entry entry, Record record, Map<String, Integer> statuses) {
        Random random = new Random(n);
        Caller caller = null;
        int count = 0;
        double until = record.seconds() + PLAY_SECONDS;
        try {
            while (record.seconds() < until) {
                Thread.sleep(100 + random.nextInt(300));
                if (caller == null || !caller.usable()) {
                    caller = new Caller(entry.host(), entry.callers());
                }
                String id = "b" + n + "x" + count++;
                record.write("client sends " + id + " to " + entry.name());
                byte[] body = ("book " + id).getBytes();
                Caller.Answer a = caller.call("POST", "/book/1", id, body, BUDGET_MILLIS, BUDGET_MILLIS + 1_000);
                statuses.put(id, a.status());
                record.write("client gets " + a.status() + " for " + id);
            }
        } catch (IOException | InterruptedException e) {
            record.write("client " + n + " ends: " + e);
        }
    }

    private static int judge(Record record, Map<String, Integer> statuses, int copies, boolean trouble) {
        int served = 0;
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, Integer> e : statuses.entrySet()) {
            List<String> runs = record.runsOf(e.getKey());
            served += e.getValue() == 200 ? 1 : 0;
            if (runs.size() > 1) {
                twice++;
                record.write("TWICE: " + e.getKey() + " ran at " + runs);
            }
            if (Set.of(408, 421, 429, 503).contains(e.getValue()) && !runs.isEmpty()) {
                refusedAndRun++;
                record.write("REFUSED: " + e.getKey() + " was answered " + e.getValue() + " and ran at " + runs);
            }
        }
        String line = "requests " + statuses.size() + ", served " + served + ", late copies " + copies
                + ", ran twice " + twice + ", refused and run " + refusedAndRun;
        record.write(line);
        System.out.println(line);
        if (twice + refusedAndRun > 0) {
            return 1;
        }
        return served < MIN_SERVED || (trouble && copies == 0) ? 2 : 0;
    }
}
