package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two services; for some seconds, one runner of the first answers with bytes without end, until its caller closes.
 * Judged are the requests to the second service, whose runners are sound.
 */
final class EndlessBody {
    private static final int RUNNERS = 3;
    private static final int APP_CALLERS = 48;
    private static final int DESK_CALLERS = 12;
    private static final int APP_TIMEOUT_MILLIS = 6_000;
    private static final int DESK_TIMEOUT_MILLIS = 600;
    private static final int SLACK_MILLIS = 500;
    private static final int IMPAIRED_AFTER_SECONDS = 8;

    /** How long the runner begins such answers. */
    private static final int IMPAIRED_SECONDS = 5;

    /** The seconds after that from which the system should serve again: {@code recover_s}. */
    private static final int RECOVER_SECONDS = 12;

    private static final int PLAY_SECONDS = 40;

    /** Fewer requests than this without an answer at the timeout break no rule. */
    private static final int MIN_UNANSWERED = 8;

    private EndlessBody() {}

    /** A runner that, while it is impaired, sends bytes without end where the size of a chunk is due. */
    private static final class EndlessRunner extends ServiceRunner {
        private final AtomicInteger endless = new AtomicInteger();
        private volatile double impairedFrom = Double.MAX_VALUE;

        EndlessRunner(StoreStandin store, Record record, String id) throws IOException {
            super(store, record, id, "app", 12, 12, 20);
        }

        @Override
        boolean run(Request r, Connection c) throws Exception {
            if (record.seconds() < impairedFrom || record.seconds() > impairedFrom + IMPAIRED_SECONDS) {
                return super.run(r, c);
            }
            String request = r.header(PREFIX + "Request-Id");
            record.ran(request, id);
            endless.incrementAndGet();
            long sent = 0;
            byte[] bytes = "0".repeat(16 * 1024).getBytes(StandardCharsets.US_ASCII);
            String head = "HTTP/1.1 200 OK\r\n" + answerHeaders(request) + "Transfer-Encoding: chunked\r\n\r\n";
            try {
                c.out.write(head.getBytes(StandardCharsets.US_ASCII));
                while (true) {
                    c.out.write(bytes);
                    sent += bytes.length;
                }
            } catch (IOException e) {
                record.write("endless answer to " + request + " ends: caller closed after " + sent + " bytes");
                return false;
            }
        }
    }

    /**
     * The outcome of a request to the second service.
     *
     * @param status the status of the answer; 0 if the connection ended without one, -1 if nothing came in time
     */
    private record Outcome(int status, double sentAt, double seconds) {}

    public static void main(String[] args) throws Exception {
        Deployment.run(Path.of(args[0]), EndlessBody::play);
    }

    private static int play(Deployment d, Record record, boolean trouble) throws Exception {
        EndlessRunner endless = new EndlessRunner(d.store, record, "i-app0");
        endless.register();
        for (int i = 0; i < RUNNERS; i++) {
            if (i > 0) {
                new ServiceRunner(d.store, record, "i-app" + i, "app", 12, 12, 20).register();
            }
            new ServiceRunner(d.store, record, "i-desk" + i, "desk", 6, 24, 20).register();
        }
        d.configure(
                7,
                Deployment.route("r-app", "/app/", "safe", APP_TIMEOUT_MILLIS, 2, "app") + ","
                        + Deployment.route("r-desk", "/desk/", "unsafe", DESK_TIMEOUT_MILLIS, 1, "desk"),
                Deployment.service("app") + "," + Deployment.service("desk"));
        Deployment.Entry entry = d.startEntry("entry-0");
        Thread.sleep(3_000);
        double impairedFrom = record.seconds() + IMPAIRED_AFTER_SECONDS;
        if (trouble) {
            endless.impairedFrom = impairedFrom;
            record.write("runner i-app0 will be impaired from " + impairedFrom);
        }
        double until = record.seconds() + PLAY_SECONDS;
        ConcurrentLinkedQueue<Outcome> app = new ConcurrentLinkedQueue<>();
        ConcurrentLinkedQueue<Outcome> desk = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < APP_CALLERS; i++) {
            threads.add(caller("a" + i, "/app/1", APP_TIMEOUT_MILLIS, 50, entry, record, app, until));
        }
        for (int i = 0; i < DESK_CALLERS; i++) {
            threads.add(caller("d" + i, "/desk/1", DESK_TIMEOUT_MILLIS, 100, entry, record, desk, until));
        }
        for (Thread t : threads) {
            t.join();
        }
        return judge(entry, record, desk, impairedFrom, endless.endless.get(), trouble);
    }

    private static Thread caller(
            String name,
            String path,
            int timeoutMillis,
            int pauseMillis,
            Deployment.Entry entry,
            Record record,
            ConcurrentLinkedQueue<Outcome> outcomes,
            double until) {
        Thread t = new Thread(() -> {
            Caller caller = null;
            try {
                for (int n = 0; record.seconds() < until; n++) {
                    double sentAt = record.seconds();
                    String id = name + "x" + n;
                    record.write("client sends " + id);
                    int status = 0;
                    try {
                        if (caller == null || !caller.usable()) {
                            caller = new Caller(entry.host(), entry.callers());
                        }
                        int waitMillis = timeoutMillis + SLACK_MILLIS;
                        status = caller.call("POST", path, id, new byte[100], timeoutMillis, waitMillis)
                                .status();
                        if (status == 0) {
                            caller.close();
                        }
                    } catch (IOException e) {
                        record.write("client of " + id + ": " + e);
                    }
                    double seconds = record.seconds() - sentAt;
                    status = status == 0 && seconds * 1_000 >= timeoutMillis + SLACK_MILLIS ? -1 : status;
                    outcomes.add(new Outcome(status, sentAt, seconds));
                    record.write("client of " + id + " gets " + status + " after " + seconds);
                    Thread.sleep(pauseMillis);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        t.start();
        return t;
    }

    private static int judge(
            Deployment.Entry entry,
            Record record,
            ConcurrentLinkedQueue<Outcome> desk,
            double impairedFrom,
            int endless,
            boolean trouble) {
        long late = desk.stream().filter(o -> o.seconds() * 1_000 >= DESK_TIMEOUT_MILLIS).count();
        long unanswered = desk.stream().filter(o -> o.status() == -1).count();
        double recovered = impairedFrom + IMPAIRED_SECONDS + RECOVER_SECONDS;
        List<Outcome> after = desk.stream().filter(o -> o.sentAt() > recovered).toList();
        long servedAfter = after.stream().filter(o -> o.status() == 200).count();
        String line = "endless answers " + endless + "; requests to the sound service " + desk.size() + ", served "
                + desk.stream().filter(o -> o.status() == 200).count() + ", without an answer at their timeout " + late
                + ", and half a second later " + unanswered + "; later than recover_s after the impairment "
                + after.size() + ", served " + servedAfter + "; the process runs: "
                + entry.process().isAlive() + ", says it is ready: " + Deployment.isReady(entry);
        record.write(line);
        System.out.println(line);
        Map<String, Boolean> broken = new TreeMap<>(Map.of(
                "CONFIG", unanswered >= MIN_UNANSWERED && unanswered * 2 > late,
                "hang", !after.isEmpty() && servedAfter * 4 < after.size()));
        record.write("broken: " + broken);
        if (broken.containsValue(true)) {
            return 1;
        }
        boolean servedBefore = desk.stream()
                .filter(o -> o.sentAt() < impairedFrom - 1)
                .allMatch(o -> o.status() == 200);
        return servedBefore && (!trouble || endless > 0) ? 0 : 2;
    }
}
